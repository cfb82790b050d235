#include <scheduling/celloracle.h>

#include <algorithm>

namespace monsoongrade::scheduling {

namespace {

// ConstantLengths guesses this for all answers.
constexpr double GuessedTokens = 100;
// Means are kept in floating seconds.
constexpr auto Rounding = std::chrono::microseconds(1);

} // namespace

void CellOracle::asked(const SlotAsk &ask)
{
    const bool isSeen = seen_.count(ask.className) > 0;
    waiting.emplace(ask.request, Waiting{ask, policy.tierOf(ask.className), clock_.now(), isSeen});
}

void CellOracle::released(const SlotRelease &release)
{
    const auto tokens = static_cast<double>(release.tokens.value());
    const Held grant = this->held.at(release.grant);
    this->held.erase(release.grant);
    if (grant.counts)
        tokens_ += tokens - GuessedTokens;
    if (grant.counts && grant.guaranteed)
        guaranteedTokens_ -= std::max(0.0, GuessedTokens - tokens);
    if (release.outcome != ReleaseOutcome::Completed)
        return;
    seen_.insert(grant.ask.className);
    units::Duration &shortest = shortest_.emplace(grant.ask.className, release.held).first->second;
    shortest = std::min(shortest, release.held);
    units::Duration &longest = longest_[grant.ask.className];
    longest = std::max(longest, release.held);
}

void CellOracle::checkNobodyWaitsInVain()
{
    for (const auto &[request, ask] : waiting) {
        const bool left = ask.ask.patience && clock_.now() >= ask.arrived + *ask.ask.patience;
        check(!left || passedOver_.count(request) > 0, request.value() + " waits in vain");
    }
}

void CellOracle::cancelled(const units::RequestId &request)
{
    waiting.erase(request);
    passedOver_.erase(request);
}

void CellOracle::granted(const SlotGrant &grant)
{
    const std::string what = "grant to " + grant.request.value();
    const auto found = waiting.find(grant.request);
    check(found != waiting.end(), what + " that does not wait");
    if (found == waiting.end())
        return;
    const Waiting ask = found->second;
    const bool slotIsDue = passedOver_.count(grant.request) > 0;
    cancelled(grant.request);
    const units::EndpointId &endpoint = grant.endpoint;
    const auto config = std::find_if(policy.endpoints.begin(), policy.endpoints.end(),
                                     [&](const auto &each) { return each.id == endpoint; });
    check(config != policy.endpoints.end(), what + " on an unconfigured endpoint");
    check(leaving.count(endpoint) == 0, what + " on a leaving endpoint");
    check(suspected.count(endpoint) == 0, what + " on a suspected endpoint");
    check(config == policy.endpoints.end() || inFlight(endpoint) < config->slots,
          what + " beyond the slots of " + endpoint.value());
    check(held.count(grant.id) == 0, what + " under a number in use");
    checkOrder(ask, grant);
    if (!slotIsDue)
        checkPatience(ask, what);
    begun(ask.ask.className);
    tokens_ += GuessedTokens;
    const bool counts = seen_.count(ask.ask.className) > 0;
    held[grant.id] = {ask.ask, endpoint, counts, !grant.passedOver.value().empty()};
}

// The shortest answer of its class must fit into the time that the caller stays, if one had been
// seen when it asked; but one of each class may begin after its longest wait without any.
void CellOracle::checkPatience(const Waiting &ask, const std::string &what)
{
    if (!ask.ask.patience)
        return;
    const units::Duration left = ask.arrived + *ask.ask.patience - clock_.now();
    check(left > units::Duration::zero(), what + ", whose caller has left");
    const auto found = begun_.find(ask.ask.className);
    const bool maySample = found == begun_.end()
        || clock_.now() - found->second >= policy.longestWait(ask.ask.className);
    const bool fits = !ask.classSeen || left + Rounding >= shortest_.at(ask.ask.className);
    check(maySample || fits, what + ", whose caller leaves before the end");
}

void CellOracle::checkOrder(const Waiting &ask, const SlotGrant &grant)
{
    const Waiting *highest = nullptr;
    for (const auto &entry : waiting) {
        const Waiting &other = entry.second;
        const auto &avoid = other.ask.avoid;
        const bool wantsIt = std::find(avoid.begin(), avoid.end(), grant.endpoint) == avoid.end();
        if (wantsIt && other.tier < ask.tier && (!highest || other.tier < highest->tier))
            highest = &other;
    }
    const std::string what = grant.request.value() + " before the higher "
        + (highest ? highest->ask.request : grant.passedOver).value();
    const auto passed = waiting.find(grant.passedOver);
    check(passed != waiting.end() || !highest, what + " without a guaranteed grant");
    if (passed == waiting.end())
        return;
    check(!highest || passed->second.tier <= highest->tier, what + ", but passed over a lower one");
    check(passedOver_.count(grant.passedOver) == 0, what + ", which was passed over before");
    passedOver_[grant.passedOver] = clock_.now();
    guaranteedTokens_ += GuessedTokens;
    check(guaranteedTokens_ <= policy.guaranteedShare * (tokens_ + GuessedTokens)
                  + 2 * policy.lowerTiers() * GuessedTokens,
          what + ", more often than the guaranteed share");
}

void CellOracle::refused(const SlotRefusal &refusal)
{
    const std::string what = "refusal of " + refusal.request.value();
    const auto found = waiting.find(refusal.request);
    check(found != waiting.end(), what + " that does not wait");
    check(refusal.retryAfter > units::Duration::zero(), what + " without a time to come back");
    if (found == waiting.end())
        return;
    const Waiting ask = found->second;
    const auto isThere = [&](const EndpointPolicy &each) {
        return leaving.count(each.id) == 0;
    };
    switch (refusal.code) {
    case units::ResultCode::QueueFull:
    case units::ResultCode::ShedForHigherTier:
        checkShed(ask);
        break;
    case units::ResultCode::WaitedTooLong:
    case units::ResultCode::DeadlineHopeless:
        checkDeadline(ask, refusal.code);
        break;
    case units::ResultCode::CallerLeft:
        check(ask.ask.router == losing, what + " as left, of a router that lives");
        break;
    case units::ResultCode::NoEndpointAvailable:
        check(std::none_of(policy.endpoints.begin(), policy.endpoints.end(), isThere),
              what + " for want of an endpoint, with one there");
        break;
    default:
        check(false, what + " for an unexpected reason");
    }
    cancelled(refusal.request);
}

void CellOracle::checkShed(const Waiting &ask)
{
    const std::string what = "shed " + ask.ask.request.value();
    check(passedOver_.count(ask.ask.request) == 0, what + " after it was passed over");
    std::size_t reserved = 0;
    std::set<units::Tier> tiers;
    for (const auto &entry : policy.classes)
        tiers.insert(entry.second.tier);
    for (const units::Tier tier : tiers) {
        reserved += policy.reservedPlaces(tier);
        check(tier <= ask.tier || count(tier) <= policy.reservedPlaces(tier),
              what + " while a lower one holds a place that it could have");
    }
    check(waiting.size() - passedOver_.size() + reserved > policy.queueLimit,
          what + " while there is room");
}

// True if its caller leaves before two of its class's longest answers could end.
bool CellOracle::leavesTooSoon(const Waiting &ask) const
{
    if (!ask.ask.patience)
        return false;
    const auto longest = longest_.find(ask.ask.className);
    const units::Duration needed
        = longest == longest_.end() ? units::Duration::zero() : 2 * longest->second;
    return ask.arrived + *ask.ask.patience - clock_.now() <= needed + Rounding;
}

void CellOracle::checkDeadline(const Waiting &ask, units::ResultCode code)
{
    const std::string what = "gave up " + ask.ask.request.value();
    const ClassPolicy &config = policy.classes.at(ask.ask.className);
    const bool drop = config.late == LatePolicy::Drop;
    const units::Duration waited = clock_.now() - ask.arrived;
    const units::Duration limit
        = drop ? std::min(config.maxWait, config.firstTokenTarget) : config.maxWait;
    const bool hopeless = code == units::ResultCode::DeadlineHopeless;
    const bool leaves = leavesTooSoon(ask) && passedOver_.count(ask.ask.request) == 0;
    check(hopeless ? drop || leaves : !drop, what + " against its class");
    const auto ahead = std::any_of(waiting.begin(), waiting.end(), [&](const auto &entry) {
        return entry.second.tier <= ask.tier && entry.first != ask.ask.request;
    });
    check(waited >= limit || (hopeless && leaves)
              || (drop && waited == units::Duration::zero() && ahead),
          what + " too early");
    const auto passed = passedOver_.find(ask.ask.request);
    check(passed == passedOver_.end() || clock_.now() - passed->second >= config.maxWait,
          what + " because a guaranteed grant took its slot");
}

void CellOracle::compare(const CellScheduler &scheduler)
{
    check(scheduler.waiting() == waiting.size(),
          "scheduler has " + std::to_string(scheduler.waiting()) + " waiting, oracle "
              + std::to_string(waiting.size()));
    check(scheduler.held() == held.size(),
          "scheduler has " + std::to_string(scheduler.held()) + " held, oracle "
              + std::to_string(held.size()));
}

void CellOracle::check(bool holds, const std::string &message)
{
    if (!holds)
        broken.push_back(message);
}

std::size_t CellOracle::count(units::Tier tier) const
{
    return static_cast<std::size_t>(
        std::count_if(waiting.begin(), waiting.end(), [&](const auto &entry) {
            return entry.second.tier == tier && passedOver_.count(entry.first) == 0;
        }));
}

int CellOracle::inFlight(const units::EndpointId &endpoint) const
{
    return static_cast<int>(std::count_if(held.begin(), held.end(), [&](const auto &entry) {
        return entry.second.endpoint == endpoint;
    }));
}

} // namespace monsoongrade::scheduling
