#include <monsoongrade/scheduling/endpointbook.h>

#include <algorithm>
#include <vector>

namespace monsoongrade::scheduling {

namespace {

constexpr double SpeedSmoothing = 0.2;
constexpr double FirstGuessOfSpeed = 30;
// A cached prefix spares its prefill; the endpoint's expected wait counts for this share only.
// On a loaded endpoint that is worth about two requests more in flight than elsewhere, so a
// popular prefix spreads over endpoints instead of making one of them a hot spot.
constexpr double CachedPrefixDiscount = 0.4;
constexpr auto MinPatience = std::chrono::seconds(5);
constexpr double PatienceInAnswers = 4;

} // namespace

void EndpointBook::setEndpoints(const std::vector<EndpointPolicy> &endpoints)
{
    for (auto &entry : endpoints_)
        entry.second.configured = false;
    for (const EndpointPolicy &policy : endpoints) {
        EndpointState &state = endpoints_[policy.id];
        state.slots = std::max(1, policy.slots);
        state.limit.configure(state.slots);
        state.configured = true;
    }
    // An unconfigured endpoint that holds work or bears a mark is kept: coming back under the
    // same name it must not be taken for a healthy one.
    for (auto entry = endpoints_.begin(); entry != endpoints_.end();) {
        const EndpointState &state = entry->second;
        const bool idle
            = !state.configured && state.inFlight == 0 && !state.leaving && !state.suspected;
        entry = idle ? endpoints_.erase(entry) : std::next(entry);
    }
}

std::optional<units::EndpointId> EndpointBook::choose(const SlotAsk &ask,
                                                      units::TimePoint now) const
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
        if (!state.isFree(now) || (othersLive && isAvoided(id)))
            continue;
        const double wait = expectedWait(state, ask.prefix);
        if (!best || wait < bestWait) {
            best = id;
            bestWait = wait;
        }
    }
    return best;
}

void EndpointBook::begin(const units::EndpointId &endpoint, units::PrefixHash prefix, double tokens,
                         units::TimePoint now)
{
    EndpointState &state = endpoints_[endpoint];
    if (state.inFlight == 0)
        state.lastProgress = now;
    ++state.inFlight;
    state.tokensInFlight += tokens;
    state.prefixes.use(prefix);
    state.limit.begun(now);
}

void EndpointBook::end(const units::EndpointId &endpoint, double estimatedTokens)
{
    const auto found = endpoints_.find(endpoint);
    if (found == endpoints_.end())
        return;
    EndpointState &state = found->second;
    state.inFlight = std::max(0, state.inFlight - 1);
    state.tokensInFlight = std::max(0.0, state.tokensInFlight - estimatedTokens);
}

void EndpointBook::learn(const units::EndpointId &endpoint, const SlotRelease &release,
                         units::TimePoint now)
{
    const auto found = endpoints_.find(endpoint);
    if (found == endpoints_.end())
        return;
    EndpointState &state = found->second;
    // A caller that leaves a frozen engine before any token is no sign of life.
    if (release.outcome != ReleaseOutcome::CallerLeft || release.tokens.value() > 0)
        state.lastProgress = now;
    if (release.outcome == ReleaseOutcome::EndpointFailed)
        state.limit.failed(now);
    if (release.outcome == ReleaseOutcome::NotRun)
        state.limit.notRun(now);
    if (release.outcome != ReleaseOutcome::Completed)
        return;
    const double held = std::chrono::duration<double>(release.held).count();
    double ratio = 1;
    if (held > 0 && release.tokens.value() > 0) {
        const double speed = static_cast<double>(release.tokens.value()) / held;
        double &smooth = state.tokensPerSecond;
        smooth = smooth == 0 ? speed : smooth + SpeedSmoothing * (speed - smooth);
        const double peers = peerSpeed(endpoint);
        ratio = peers > 0 ? smooth / peers : 1;
    }
    state.limit.completed(ratio, now);
}

void EndpointBook::tick(units::TimePoint now)
{
    for (auto &entry : endpoints_) {
        EndpointState &state = entry.second;
        if (state.inFlight == 0 || state.limit.isProbing())
            continue;
        const double speed = state.tokensPerSecond > 0 ? state.tokensPerSecond : FirstGuessOfSpeed;
        const double answer = state.tokensInFlight / state.inFlight / speed;
        const std::chrono::duration<double> patience
            = MinPatience + std::chrono::duration<double>(PatienceInAnswers * answer);
        if (now - state.lastProgress > patience)
            state.limit.silent(now);
    }
}

void EndpointBook::setLeaving(const units::EndpointId &endpoint, bool leaving)
{
    endpoints_[endpoint].leaving = leaving;
}

void EndpointBook::setSuspected(const units::EndpointId &endpoint, bool suspected)
{
    endpoints_[endpoint].suspected = suspected;
}

int EndpointBook::freeSlots(units::TimePoint now) const
{
    int sum = 0;
    for (const auto &entry : endpoints_) {
        const EndpointState &state = entry.second;
        if (state.isFree(now))
            sum += std::max(1, state.limit.current() - state.inFlight);
    }
    return sum;
}

int EndpointBook::liveSlots() const
{
    int sum = 0;
    for (const auto &entry : endpoints_)
        sum += entry.second.isLive() ? entry.second.limit.current() : 0;
    return sum;
}

bool EndpointBook::hasFreeSlot(units::TimePoint now) const
{
    return std::any_of(endpoints_.begin(), endpoints_.end(),
                       [&](const auto &entry) { return entry.second.isFree(now); });
}

bool EndpointBook::hasFuture() const
{
    return std::any_of(endpoints_.begin(), endpoints_.end(),
                       [](const auto &entry) { return entry.second.hasFuture(); });
}

double EndpointBook::tokensPerSecond() const
{
    double sum = 0;
    for (const auto &entry : endpoints_) {
        const EndpointState &state = entry.second;
        const double speed = state.tokensPerSecond > 0 ? state.tokensPerSecond : FirstGuessOfSpeed;
        sum += state.isLive() ? state.limit.current() * speed : 0;
    }
    return sum;
}

double EndpointBook::tokensPerSecondOf(const units::EndpointId &endpoint) const
{
    const auto found = endpoints_.find(endpoint);
    const double speed = found == endpoints_.end() ? 0 : found->second.tokensPerSecond;
    return speed > 0 ? speed : FirstGuessOfSpeed;
}

int EndpointBook::limitOf(const units::EndpointId &endpoint) const
{
    const auto found = endpoints_.find(endpoint);
    return found == endpoints_.end() ? 0 : found->second.limit.current();
}

// The median of the others; 0 if none was measured.
double EndpointBook::peerSpeed(const units::EndpointId &endpoint) const
{
    std::vector<double> speeds;
    for (const auto &[id, state] : endpoints_) {
        if (id != endpoint && state.isLive() && state.tokensPerSecond > 0)
            speeds.push_back(state.tokensPerSecond);
    }
    if (speeds.empty())
        return 0;
    const auto middle = speeds.begin() + static_cast<std::ptrdiff_t>(speeds.size() / 2);
    std::nth_element(speeds.begin(), middle, speeds.end());
    return *middle;
}

double EndpointBook::expectedWait(const EndpointState &state, units::PrefixHash prefix)
{
    const double speed = state.tokensPerSecond > 0 ? state.tokensPerSecond : FirstGuessOfSpeed;
    const double load = (1.0 + state.inFlight) / std::max(1, state.limit.current());
    const double wait = load * (1.0 + state.tokensInFlight / speed);
    return state.prefixes.contains(prefix) ? wait * CachedPrefixDiscount : wait;
}

} // namespace monsoongrade::scheduling
