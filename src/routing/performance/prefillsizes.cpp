#include <monsoongrade/routing/performance/prefillsizes.h>

namespace monsoongrade::routing::performance {

namespace {

// Decay with each newer prefill, for a window of about 200: twenty of the largest tenth.
constexpr double DecayFactor = 0.995;
constexpr auto Lifetime = std::chrono::seconds(60);

} // namespace

void PrefillSizes::add(std::int64_t tokens, units::TimePoint now)
{
    if (tokens <= 0)
        return;
    if (now - lastAddedAt_ >= Lifetime)
        *this = {};
    lastAddedAt_ = now;
    const double size = double(tokens);
    count_ = count_ * DecayFactor + 1;
    tokens_ = tokens_ * DecayFactor + size;
    tokensSquared_ = tokensSquared_ * DecayFactor + size * size;
}

std::optional<double> PrefillSizes::mean(units::TimePoint now) const
{
    return isKnown(now) ? std::optional(tokens_ / count_) : std::nullopt;
}

std::optional<double> PrefillSizes::meanByTokens(units::TimePoint now) const
{
    return isKnown(now) ? std::optional(tokensSquared_ / tokens_) : std::nullopt;
}

bool PrefillSizes::isKnown(units::TimePoint now) const
{
    return count_ > 0 && now - lastAddedAt_ < Lifetime;
}

} // namespace monsoongrade::routing::performance
