#include <monsoongrade/scheduling/twochoicespolicy.h>

#include <monsoongrade/scheduling/lessloaded.h>

#include <algorithm>

namespace monsoongrade::scheduling {

namespace {

constexpr double MinDrainRate = 0.5;

} // namespace

TwoChoicesPolicy::TwoChoicesPolicy(const units::Clock &clock, DecisionSink &sink,
                                   std::uint64_t seed)
    : clock_(clock)
    , sink_(sink)
    , random_(seed)
{
}

void TwoChoicesPolicy::configure(const CellPolicy &policy)
{
    std::vector<WaitingAsk> waiting = queue_.takeAll();
    policy_ = policy;
    queue_.setPolicy(policy);
    for (WaitingAsk &ask : waiting) {
        ask.applyPolicy(policy);
        queue_.push(std::move(ask));
    }
    for (auto &entry : loads_)
        entry.second.slots = 0;
    for (const EndpointPolicy &endpoint : policy.endpoints)
        loads_[endpoint.id].slots = endpoint.slots;
    grantWhilePossible();
}

void TwoChoicesPolicy::ask(const SlotAsk &ask)
{
    if (queue_.contains(ask.request))
        return;
    WaitingAsk waiting;
    waiting.ask = ask;
    waiting.arrived = clock_.now() - std::max(ask.waited, units::Duration::zero());
    waiting.applyPolicy(policy_);
    queue_.push(std::move(waiting));
    grantWhilePossible();
    while (const WaitingAsk *last = queue_.toShed()) {
        const WaitingAsk shed = *queue_.take(last->ask.request);
        refuse(shed, units::ResultCode::QueueFull);
    }
}

bool TwoChoicesPolicy::cancel(const units::RequestId &request)
{
    return queue_.take(request).has_value();
}

void TwoChoicesPolicy::release(const SlotRelease &release)
{
    const auto grant = grants_.find(release.grant);
    if (grant == grants_.end())
        return;
    --loads_[grant->second.endpoint].own;
    drain_.count(clock_.now());
    grants_.erase(grant);
    grantWhilePossible();
}

void TwoChoicesPolicy::setLeaving(const units::EndpointId &endpoint, bool leaving)
{
    loads_[endpoint].leaving = leaving;
}

void TwoChoicesPolicy::setSuspected(const units::EndpointId &endpoint, bool suspected)
{
    loads_[endpoint].suspected = suspected;
}

void TwoChoicesPolicy::reportLoad(const units::EndpointId &endpoint, int inFlight)
{
    loads_[endpoint].reported = inFlight;
    grantWhilePossible();
}

void TwoChoicesPolicy::tick()
{
    grantWhilePossible();
    const units::TimePoint now = clock_.now();
    while (const auto ask = queue_.takeGivenUp(now))
        refuse(*ask, ask->givenUpCode());
}

std::optional<units::EndpointId> TwoChoicesPolicy::choose()
{
    std::vector<std::pair<const units::EndpointId *, const Load *>> live;
    live.reserve(loads_.size());
    for (const auto &[id, load] : loads_) {
        if (load.slots > 0 && !load.leaving && !load.suspected)
            live.emplace_back(&id, &load);
    }
    if (live.empty())
        return std::nullopt;
    const auto &better = lessLoadedOfTwo(
        live, [](const auto &each) { return each.second->seen(); }, random_);
    if (better.second->seen() >= better.second->slots)
        return std::nullopt;
    return *better.first;
}

void TwoChoicesPolicy::grantWhilePossible()
{
    while (queue_.size() > 0) {
        const std::optional<units::EndpointId> endpoint = choose();
        if (!endpoint)
            return;
        const WaitingAsk *next = queue_.first(queue_.backloggedTiers().front(), clock_.now());
        const WaitingAsk taken = *queue_.take(next->ask.request);
        const units::GrantId id(nextGrant_++);
        ++loads_[*endpoint].own;
        grants_.emplace(id, HeldGrant{taken.ask, *endpoint});
        queue_.serve(taken.ask.className, taken.ask.workspace, 1);
        sink_.granted({id, taken.ask.request, taken.ask.router, *endpoint});
    }
}

void TwoChoicesPolicy::refuse(const WaitingAsk &ask, units::ResultCode code)
{
    const double rate = std::max(MinDrainRate, drain_.perSecond(clock_.now()));
    const units::Duration retryAfter = retries_.retryAfter(
        ask.tier, ask.ask.request, queue_.sizeUpTo(ask.tier), rate, clock_.now());
    sink_.refused({ask.ask.request, code, retryAfter});
}

} // namespace monsoongrade::scheduling
