#include <monsoongrade/routing/performance/prefillperiods.h>

#include <algorithm>

namespace monsoongrade::routing::performance {

namespace {

// A longer period is divided. Slow periods of endpoints last a few seconds and would otherwise be
// noticed after their end.
constexpr auto MaxPeriod = std::chrono::seconds(1);

units::Duration timeFor(std::int64_t tokens, double tokensPerMs)
{
    if (tokensPerMs <= 0)
        return units::Duration::zero();
    const std::chrono::duration<double, std::milli> time(double(tokens) / tokensPerMs);
    return std::chrono::duration_cast<units::Duration>(time);
}

} // namespace

void PrefillPeriods::onPlaced(const EndpointStatus &endpoint, std::int64_t tokens,
                              double tokensPerMs, units::TimePoint now)
{
    if (tokens <= 0)
        return;
    const auto [found, isNew] = periods_.try_emplace(&endpoint);
    Period &period = found->second;
    if (isNew) {
        period.startedAt = now;
        period.readyAt = now;
    }
    period.idle += std::max(now - period.readyAt, units::Duration::zero());
    period.readyAt = std::max(period.readyAt, now) + timeFor(tokens, tokensPerMs);
    period.outstanding += tokens;
    period.isUsable = period.isUsable && tokensPerMs > 0;
}

std::optional<PrefillPeriods::Sample> PrefillPeriods::onFirstEvent(const EndpointStatus &endpoint,
                                                                   std::int64_t tokens,
                                                                   double tokensPerMs,
                                                                   units::TimePoint now)
{
    const auto found = periods_.find(&endpoint);
    if (found == periods_.end() || tokens <= 0)
        return std::nullopt;
    Period &period = found->second;
    period.outstanding -= tokens;
    period.done += tokens;
    const bool isIdle = period.outstanding <= 0;
    if (!isIdle && now - period.startedAt < MaxPeriod)
        return std::nullopt;
    std::optional<Sample> sample;
    if (period.isUsable)
        sample = {period.done, now - period.startedAt - period.idle, period.startedIdle};
    if (isIdle) {
        periods_.erase(found);
        return sample;
    }
    const std::int64_t outstanding = period.outstanding;
    period = {};
    period.startedAt = now;
    period.readyAt = now + timeFor(outstanding, tokensPerMs);
    period.outstanding = outstanding;
    period.startedIdle = false;
    period.isUsable = tokensPerMs > 0;
    return sample;
}

void PrefillPeriods::onRemoved(const EndpointStatus &endpoint, std::int64_t tokens)
{
    const auto found = periods_.find(&endpoint);
    if (found == periods_.end() || tokens <= 0)
        return;
    found->second.isUsable = false;
    found->second.outstanding -= tokens;
    if (found->second.outstanding <= 0)
        periods_.erase(found);
}

} // namespace monsoongrade::routing::performance
