#include <monsoongrade/scheduling/cellscheduler.h>

#include <algorithm>
#include <vector>

namespace monsoongrade::scheduling {

namespace {

constexpr double MinDrainRate = 0.5;
// A deadline is given up on a prediction only if that misses it by this factor; the prediction
// is an estimate, and an ask refused too early can't be taken back.
constexpr double HopelessFactor = 2;
// An ask that waits must be granted this many times the mean answer's length before its caller
// leaves, since lengths vary and others who have more time could use the slot. One that finds
// a free slot takes it from nobody, and needs the mean length only.
constexpr int LongAnswerFactor = 2;
// Asks stepped over in one round because they avoid all free endpoints. Bounds the round's
// cost; retries are few, since their budget is a share of live traffic.
constexpr std::size_t MaxSetAside = 8;
// Share of the slots that must be free, or expected to be within the highest tier's target.
constexpr double FreeSoonShare = 0.12;

} // namespace

CellScheduler::CellScheduler(const units::Clock &clock, DecisionSink &sink)
    : CellScheduler(clock, sink, std::make_unique<LengthEstimator>())
{
}

CellScheduler::CellScheduler(const units::Clock &clock, DecisionSink &sink,
                             std::unique_ptr<LengthEstimator> lengths)
    : clock_(clock)
    , sink_(sink)
    , lengths_(std::move(lengths))
{
}

void CellScheduler::configure(const CellPolicy &policy)
{
    std::vector<WaitingAsk> waiting = queue_.takeAll();
    policy_ = policy;
    highestTier_ = policy.highestTier();
    highestTierTarget_ = policy.highestTierTarget();
    queue_.setPolicy(policy);
    retries_.setSpreading(policy.spreadRetries);
    for (WaitingAsk &ask : waiting) {
        ask.applyPolicy(policy, LongAnswerFactor * answerTime(ask.ask));
        queue_.push(std::move(ask));
    }
    endpoints_.setEndpoints(policy.endpoints);
    refuseAllWithoutFuture();
    grantWhilePossible();
    shed(units::Tier());
}

void CellScheduler::ask(const SlotAsk &ask)
{
    if (queue_.contains(ask.request))
        return;
    WaitingAsk waiting;
    waiting.ask = ask;
    waiting.arrived = clock_.now() - std::max(ask.waited, units::Duration::zero());
    const units::Duration answer = answerTime(ask);
    waiting.applyPolicy(policy_, LongAnswerFactor * answer);
    if (!endpoints_.hasFuture()) {
        refuse(waiting, units::ResultCode::NoEndpointAvailable);
        return;
    }
    const bool endsTooLate = ask.patience && ask.waited + answer > *ask.patience;
    if (endsTooLate || isHopeless(waiting)) {
        refuse(waiting, units::ResultCode::DeadlineHopeless);
        return;
    }
    const units::Tier tier = waiting.tier;
    queue_.push(std::move(waiting));
    grantWhilePossible();
    expire();
    shed(tier);
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
    // A negative count would credit its class and workspace for work that others did.
    const double tokens = std::max<double>(0, static_cast<double>(release.tokens.value()));
    queue_.correct(held.ask.className, held.ask.workspace, tokens - held.estimate);
    if (release.outcome == ReleaseOutcome::Completed) {
        lengths_->learn(held.ask.className, held.ask.workspace, tokens);
        answerTimes_.learn(held.ask.className, release.held);
    }
    if (held.booking)
        guaranteed_.correct(*held.booking, tokens);
    const units::TimePoint now = clock_.now();
    endpoints_.learn(held.endpoint, release, now);
    drain_.count(now);
    forget(grant);
    expire();
    grantWhilePossible();
}

units::GrantId CellScheduler::adopt(const SlotAsk &ask, const units::EndpointId &endpoint)
{
    const auto known = byRequest_.find({ask.router, ask.request});
    if (known != byRequest_.end() && grants_.at(known->second).endpoint == endpoint)
        return known->second;
    return hold(ask, endpoint);
}

void CellScheduler::routerLost(const units::DaemonId &router)
{
    // First the asks: a slot that comes free must not go to the router that is gone, where it
    // would be held until somebody noticed again.
    for (const WaitingAsk &ask : queue_.takeAll(router))
        refuse(ask, units::ResultCode::CallerLeft);
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
    refuseAllWithoutFuture();
    grantWhilePossible();
}

void CellScheduler::setSuspected(const units::EndpointId &endpoint, bool suspected)
{
    endpoints_.setSuspected(endpoint, suspected);
    grantWhilePossible();
}

void CellScheduler::tick()
{
    endpoints_.tick(clock_.now());
    expire();
    grantWhilePossible();
}

// What an answer of its class takes from its grant to its end, on average; asked only where the
// caller said how long it stays. By class and not by workspace: a workspace whose few answers were
// long would else be shut out on their account. A class of which nothing began for its longest wait
// is reckoned to take no time, so that one of its asks begins and is learned from: if its callers
// all stayed for less than the mean, it would starve, and an old mean would never be corrected.
units::Duration CellScheduler::answerTime(const SlotAsk &ask)
{
    if (!ask.patience)
        return {};
    const units::TimePoint now = clock_.now();
    units::TimePoint &lastBegun = lastBegun_.try_emplace(ask.className, now).first->second;
    if (now - lastBegun >= policy_.longestWait(ask.className)) {
        // For this one ask only.
        lastBegun = now;
        return {};
    }
    return answerTimes_.mean(ask.className);
}

// True if so many asks of its own and higher tiers stand before it that its target can't be met.
// Lower tiers don't count: they must not be the reason that a higher one is refused.
bool CellScheduler::isHopeless(const WaitingAsk &waiting) const
{
    if (waiting.late != LatePolicy::Drop)
        return false;
    const std::size_t ahead = queue_.sizeUpTo(waiting.tier);
    if (ahead == 0)
        return false;
    const std::chrono::duration<double> left = waiting.firstTokenDue - clock_.now();
    return static_cast<double>(ahead) / drainPerSecond() > HopelessFactor * left.count();
}

void CellScheduler::grantWhilePossible()
{
    if (clock_.now() < opensAt_)
        return;
    std::vector<WaitingAsk> setAside;
    while (queue_.size() > 0 && endpoints_.hasFreeSlot(clock_.now()) && !mustKeepSlots()) {
        if (!grantNext(setAside) && setAside.size() >= MaxSetAside)
            break;
    }
    for (WaitingAsk &ask : setAside)
        queue_.push(std::move(ask));
}

// True if only lower tiers wait and the highest one would find no slot in time if it came now.
// Nothing is preempted: when the backlog of a burst of short answers ends, long ones of the
// lowest tier take all slots within seconds, end together, and for as long as they run no slot
// comes free, however few the highest tier needs. Where some answers end soon, nothing is kept.
bool CellScheduler::mustKeepSlots() const
{
    if (!highestTierTarget_ || queue_.backloggedTiers().front() == highestTier_)
        return false;
    const int least = static_cast<int>(FreeSoonShare * endpoints_.liveSlots());
    int soon = endpoints_.freeSlots(clock_.now()) - 1;
    for (const units::TimePoint end : expectedEnds_) {
        if (soon >= least || end > clock_.now() + *highestTierTarget_)
            break;
        ++soon;
    }
    return soon < least;
}

// Returns false if the next ask avoids every free endpoint; it is then set aside, so that a
// slot which it does not want doesn't stay idle.
bool CellScheduler::grantNext(std::vector<WaitingAsk> &setAside)
{
    const std::vector<GuaranteedShare::Backlogged> backlogged = backloggedTiers();
    const units::Tier tier = nextTier(backlogged);
    const WaitingAsk *next = queue_.first(tier, clock_.now());
    const std::optional<units::EndpointId> endpoint = endpoints_.choose(next->ask, clock_.now());
    if (!endpoint) {
        setAside.push_back(*queue_.take(next->ask.request));
        return false;
    }
    const WaitingAsk taken = *queue_.take(next->ask.request);
    units::RequestId passedOver;
    const units::GrantId id = hold(taken.ask, *endpoint);
    const double tokens = grants_.at(id).estimate;
    const units::Tier highest = backlogged.front().tier;
    if (tier != highest) {
        const WaitingAsk &ask = *queue_.first(highest, clock_.now());
        passedOver = ask.ask.request;
        queue_.markPassedOver(passedOver, clock_.now() + policy_.longestWait(ask.ask.className));
    }
    const GuaranteedShare::Booking booking
        = guaranteed_.granted(backlogged, tier, tokens, policy_.guaranteedShare);
    if (lengths_->hasSeen(taken.ask.className))
        grants_.at(id).booking = booking;
    queue_.serve(taken.ask.className, taken.ask.workspace, tokens);
    sink_.granted({id, taken.ask.request, taken.ask.router, *endpoint, passedOver});
    return true;
}

std::vector<GuaranteedShare::Backlogged> CellScheduler::backloggedTiers() const
{
    std::vector<GuaranteedShare::Backlogged> backlogged;
    for (const units::Tier tier : queue_.backloggedTiers()) {
        const SlotAsk &next = queue_.first(tier, clock_.now())->ask;
        backlogged.push_back({tier, lengths_->estimate(next.className, next.workspace)});
    }
    return backlogged;
}

// An ask that was passed over goes before the next guaranteed grant; else two of these in a row
// could pass over the same one, and its wait would have no bound.
units::Tier
CellScheduler::nextTier(const std::vector<GuaranteedShare::Backlogged> &backlogged) const
{
    const units::Tier highest = backlogged.front().tier;
    if (queue_.hasPassedOver(highest))
        return highest;
    return guaranteed_.due(backlogged).value_or(highest);
}

units::GrantId CellScheduler::hold(const SlotAsk &ask, const units::EndpointId &endpoint)
{
    const units::GrantId id(nextGrant_++);
    const double estimate = lengths_->estimate(ask.className, ask.workspace);
    const std::chrono::duration<double> time(estimate / endpoints_.tokensPerSecondOf(endpoint));
    // The length of an unseen class's answers is unknown, so nobody counts on their end.
    const units::TimePoint end = lengths_->hasSeen(ask.className)
        ? clock_.now() + std::chrono::duration_cast<units::Duration>(time)
        : units::TimePoint::max();
    expectedEnds_.insert(end);
    endpoints_.begin(endpoint, ask.prefix, estimate, clock_.now());
    grants_.emplace(id, HeldGrant{ask, endpoint, estimate, end, {}});
    byRequest_[{ask.router, ask.request}] = id;
    lastBegun_[ask.className] = clock_.now();
    return id;
}

void CellScheduler::expire()
{
    const units::TimePoint now = clock_.now();
    while (const auto ask = queue_.takeGivenUp(now))
        refuse(*ask, ask->givenUpCode());
}

void CellScheduler::shed(units::Tier arrived)
{
    while (const WaitingAsk *last = queue_.toShed()) {
        const WaitingAsk ask = *queue_.take(last->ask.request);
        refuse(ask,
               ask.tier > arrived ? units::ResultCode::ShedForHigherTier
                                  : units::ResultCode::QueueFull);
    }
}

// When the last endpoint leaves, all who wait are told at once. Suspicion alone keeps them
// waiting: it mostly passes, and a wrong one must not turn a whole audience away.
void CellScheduler::refuseAllWithoutFuture()
{
    if (endpoints_.hasFuture())
        return;
    for (const WaitingAsk &ask : queue_.takeAll())
        refuse(ask, units::ResultCode::NoEndpointAvailable);
}

void CellScheduler::refuse(const WaitingAsk &ask, units::ResultCode code)
{
    const units::Duration retryAfter = retries_.retryAfter(
        ask.tier, ask.ask.request, queue_.sizeUpTo(ask.tier), drainPerSecond(), clock_.now());
    sink_.refused({ask.ask.request, code, retryAfter});
}

// Measured where there is something to measure. Half of what the endpoints should manage stands
// in for it at the start of a burst; half, because that guess knows no prefill and no batching.
double CellScheduler::drainPerSecond() const
{
    const double guess = endpoints_.tokensPerSecond() / lengths_->mean() / 2;
    return std::max({MinDrainRate, drain_.perSecond(clock_.now()), guess});
}

void CellScheduler::forget(Grants::iterator grant)
{
    const HeldGrant &held = grant->second;
    const auto known = byRequest_.find({held.ask.router, held.ask.request});
    if (known != byRequest_.end() && known->second == grant->first)
        byRequest_.erase(known);
    endpoints_.end(held.endpoint, held.estimate);
    expectedEnds_.erase(expectedEnds_.find(held.expectedEnd));
    grants_.erase(grant);
}

} // namespace monsoongrade::scheduling
