#include <monsoongrade/scheduling/cellscheduler.h>

#include <algorithm>
#include <functional>
#include <vector>

namespace monsoongrade::scheduling {

namespace {

constexpr double RateSmoothing = 0.1;
constexpr double LeastDrainRate = 0.5;
constexpr auto LeastRetryAfter = std::chrono::seconds(1);
constexpr auto LongestRetryAfter = std::chrono::seconds(120);

double seconds(units::Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

CellScheduler::CellScheduler(const units::Clock &clock, DecisionSink &sink)
    : clock_(clock)
    , sink_(sink)
{
}

void CellScheduler::configure(const CellPolicy &policy)
{
    policy_ = policy;
    queue_.setPolicy(policy);
    endpoints_.setEndpoints(policy.endpoints);
    grantWhilePossible();
}

void CellScheduler::ask(const SlotAsk &ask)
{
    if (!endpoints_.hasLiveEndpoint()) {
        refuse(ask.request, units::ResultCode::NoEndpointAvailable);
        return;
    }
    queue_.push(withPolicy(ask));
    grantWhilePossible();
    if (queue_.size() > policy_.queueLimit) {
        const units::RequestId shed = queue_.leastEntitled()->ask.request;
        queue_.take(shed);
        refuse(shed, units::ResultCode::QueueFull);
    }
}

bool CellScheduler::cancel(const units::RequestId &request)
{
    return queue_.take(request).has_value();
}

void CellScheduler::release(const SlotRelease &release)
{
    const auto grant = grants_.find(release.grant);
    if (grant == grants_.end())
        return;
    const HeldGrant &held = grant->second;
    const double tokens = static_cast<double>(release.tokens.value());
    queue_.charge(held.ask.className, held.ask.workspace, tokens - held.estimate);
    if (release.outcome == ReleaseOutcome::Completed) {
        lengths_.learn(held.ask.className, held.ask.workspace, tokens);
        if (release.held > units::Duration::zero())
            endpoints_.noteSpeed(held.endpoint, tokens / seconds(release.held));
    }
    const units::TimePoint now = clock_.now();
    if (lastRelease_ != units::TimePoint()) {
        const double gap = std::max(1e-3, seconds(now - lastRelease_));
        releasesPerSecond_ += RateSmoothing * (1.0 / gap - releasesPerSecond_);
    }
    lastRelease_ = now;
    forget(grant);
    grantWhilePossible();
}

units::GrantId CellScheduler::adopt(const SlotAsk &ask, const units::EndpointId &endpoint)
{
    return hold(ask, endpoint);
}

void CellScheduler::routerLost(const units::DaemonId &router)
{
    for (auto grant = grants_.begin(); grant != grants_.end();) {
        const auto current = grant++;
        if (current->second.ask.router == router)
            forget(current);
    }
    grantWhilePossible();
}

void CellScheduler::setLeaving(const units::EndpointId &endpoint, bool leaving)
{
    endpoints_.setLeaving(endpoint, leaving);
    grantWhilePossible();
}

void CellScheduler::setSuspected(const units::EndpointId &endpoint, bool suspected)
{
    endpoints_.setSuspected(endpoint, suspected);
    grantWhilePossible();
}

void CellScheduler::tick()
{
    const units::TimePoint now = clock_.now();
    while (const WaitingAsk *oldest = queue_.nextToGiveUp()) {
        if (oldest->giveUpAt > now)
            break;
        const units::RequestId request = oldest->ask.request;
        queue_.take(request);
        refuse(request, units::ResultCode::WaitedTooLong);
    }
    grantWhilePossible();
}

WaitingAsk CellScheduler::withPolicy(const SlotAsk &ask) const
{
    WaitingAsk waiting;
    waiting.ask = ask;
    waiting.arrived = clock_.now() - ask.waited;
    ClassPolicy policy;
    const auto found = policy_.classes.find(ask.className);
    if (found != policy_.classes.end())
        policy = found->second;
    waiting.tier = policy.tier;
    waiting.firstTokenDue = waiting.arrived + policy.firstTokenTarget;
    waiting.giveUpAt = waiting.arrived + policy.maxWait;
    waiting.late = policy.late;
    return waiting;
}

void CellScheduler::grantWhilePossible()
{
    while (queue_.size() > 0 && endpoints_.hasFreeSlot()) {
        if (!grantNext())
            return;
    }
}

bool CellScheduler::grantNext()
{
    const WaitingAsk *next = queue_.first(nextTier());
    const std::optional<units::EndpointId> endpoint = endpoints_.choose(next->ask);
    if (!endpoint)
        return false;
    const WaitingAsk taken = *queue_.take(next->ask.request);
    const units::GrantId id = hold(taken.ask, *endpoint);
    sink_.granted({id, taken.ask.request, taken.ask.router, *endpoint});
    return true;
}

// Without the guaranteed share a steady overload of the highest tier would leave the lower ones
// waiting for ever. Each grant earns every lower backlogged tier a fraction of a grant; a tier
// that has earned a whole one goes next. The higher tier waits for at most one such grant in
// 1 / guaranteedShare.
units::Tier CellScheduler::nextTier()
{
    const std::vector<units::Tier> tiers = queue_.backloggedTiers();
    for (std::size_t i = 1; i < tiers.size(); ++i) {
        double &credit = guaranteedCredit_[tiers[i]];
        credit += policy_.guaranteedShare / static_cast<double>(tiers.size() - 1);
        if (credit >= 1) {
            credit = 0;
            return tiers[i];
        }
    }
    return tiers.front();
}

units::GrantId CellScheduler::hold(const SlotAsk &ask, const units::EndpointId &endpoint)
{
    const units::GrantId id(nextGrant_++);
    const double estimate = lengths_.estimate(ask.className, ask.workspace);
    endpoints_.begin(endpoint, ask.prefix, estimate);
    queue_.charge(ask.className, ask.workspace, estimate);
    grants_.emplace(id, HeldGrant{ask, endpoint, estimate});
    return id;
}

void CellScheduler::refuse(const units::RequestId &request, units::ResultCode code)
{
    sink_.refused({request, code, retryAfter(request)});
}

// The time the backlog needs to drain, spread over as much again by the request's id: a refused
// audience that was told one moment would come back as one burst.
units::Duration CellScheduler::retryAfter(const units::RequestId &request) const
{
    const double rate = std::max(LeastDrainRate, releasesPerSecond_);
    const double drain = static_cast<double>(queue_.size() + 1) / rate;
    const double spread = static_cast<double>(std::hash<units::RequestId>()(request) % 1000) / 1000;
    const auto wait = std::chrono::duration_cast<units::Duration>(
        std::chrono::duration<double>(drain * (1 + spread)));
    return std::clamp<units::Duration>(wait, LeastRetryAfter, LongestRetryAfter);
}

void CellScheduler::forget(std::map<units::GrantId, HeldGrant>::iterator grant)
{
    endpoints_.end(grant->second.endpoint, grant->second.estimate);
    grants_.erase(grant);
}

} // namespace monsoongrade::scheduling
