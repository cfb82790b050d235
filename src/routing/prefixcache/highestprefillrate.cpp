#include <monsoongrade/routing/prefixcache/highestprefillrate.h>

#include <algorithm>

namespace monsoongrade::routing::prefixcache {

namespace {

constexpr auto Period = std::chrono::minutes(10);
// Decay of a sample's weight with each newer one, and the weight that counts, of about eight
// samples: single prefills of prefixes that are cached without this host's knowledge look faster.
constexpr double DecayFactor = 0.9;
constexpr double MinWeight = 5.5;

} // namespace

void HighestPrefillRate::addSample(std::int64_t tokens, units::Duration took, units::TimePoint now)
{
    if (tokens <= 0 || took <= units::Duration::zero())
        return;
    if (periodStart_ == units::TimePoint{})
        periodStart_ = now;
    if (now - periodStart_ >= Period) {
        previous_ = now - periodStart_ < 2 * Period ? highest_ : 0;
        highest_ = 0;
        periodStart_ = now;
    }
    weight_ = weight_ * DecayFactor + 1;
    tokens_ = tokens_ * DecayFactor + double(tokens);
    ms_ = ms_ * DecayFactor + std::chrono::duration<double, std::milli>(took).count();
    if (weight_ >= MinWeight)
        highest_ = std::max(highest_, tokens_ / ms_);
}

double HighestPrefillRate::tokensPerMs() const
{
    const double highest = std::max(highest_, previous_);
    return highest > 0 ? highest : performance::PrefillRate::InitialTokensPerMs;
}

} // namespace monsoongrade::routing::prefixcache
