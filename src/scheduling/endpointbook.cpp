#include <monsoongrade/scheduling/endpointbook.h>

#include <algorithm>

namespace monsoongrade::scheduling {

namespace {

constexpr double SpeedSmoothing = 0.2;
// A cached prefix spares its prefill; worth this share of the expected wait.
constexpr double CachedPrefixDiscount = 0.7;

} // namespace

void EndpointBook::setEndpoints(const std::vector<EndpointPolicy> &endpoints)
{
    for (auto &entry : endpoints_)
        entry.second.configured = false;
    for (const EndpointPolicy &policy : endpoints) {
        EndpointState &state = endpoints_[policy.id];
        state.slots = policy.slots;
        state.configured = true;
    }
}

std::optional<units::EndpointId> EndpointBook::choose(const SlotAsk &ask) const
{
    const auto isAvoided = [&](const units::EndpointId &id) {
        return std::find(ask.avoid.begin(), ask.avoid.end(), id) != ask.avoid.end();
    };
    const bool othersLive = std::any_of(endpoints_.begin(), endpoints_.end(), [&](const auto &e) {
        return e.second.isLive() && !isAvoided(e.first);
    });
    std::optional<units::EndpointId> best;
    double bestWait = 0;
    for (const auto &[id, state] : endpoints_) {
        if (!state.isFree() || (othersLive && isAvoided(id)))
            continue;
        const double wait = expectedWait(state, ask.prefix);
        if (!best || wait < bestWait) {
            best = id;
            bestWait = wait;
        }
    }
    return best;
}

void EndpointBook::begin(const units::EndpointId &endpoint, units::PrefixHash prefix, double tokens)
{
    EndpointState &state = endpoints_[endpoint];
    ++state.inFlight;
    state.tokensInFlight += tokens;
    state.lastPrefix = prefix;
}

void EndpointBook::end(const units::EndpointId &endpoint, double estimatedTokens)
{
    EndpointState &state = endpoints_[endpoint];
    state.inFlight = std::max(0, state.inFlight - 1);
    state.tokensInFlight = std::max(0.0, state.tokensInFlight - estimatedTokens);
}

void EndpointBook::noteSpeed(const units::EndpointId &endpoint, double tokensPerSecond)
{
    double &speed = endpoints_[endpoint].tokensPerSecond;
    speed += SpeedSmoothing * (tokensPerSecond - speed);
}

void EndpointBook::setLeaving(const units::EndpointId &endpoint, bool leaving)
{
    endpoints_[endpoint].leaving = leaving;
}

void EndpointBook::setSuspected(const units::EndpointId &endpoint, bool suspected)
{
    endpoints_[endpoint].suspected = suspected;
}

bool EndpointBook::hasFreeSlot() const
{
    return std::any_of(endpoints_.begin(), endpoints_.end(),
                       [](const auto &entry) { return entry.second.isFree(); });
}

bool EndpointBook::hasLiveEndpoint() const
{
    return std::any_of(endpoints_.begin(), endpoints_.end(),
                       [](const auto &entry) { return entry.second.isLive(); });
}

int EndpointBook::totalSlots() const
{
    int total = 0;
    for (const auto &entry : endpoints_)
        total += entry.second.isLive() ? entry.second.slots : 0;
    return total;
}

double EndpointBook::expectedWait(const EndpointState &state, units::PrefixHash prefix)
{
    const double speed = std::max(1.0, state.tokensPerSecond);
    const double load = (1.0 + state.inFlight) / std::max(1, state.slots);
    const double wait = load * (1.0 + state.tokensInFlight / speed);
    const bool cached = prefix != units::PrefixHash() && prefix == state.lastPrefix;
    return cached ? wait * CachedPrefixDiscount : wait;
}

} // namespace monsoongrade::scheduling
