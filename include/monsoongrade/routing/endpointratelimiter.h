#ifndef MONSOONGRADE_ROUTING_ENDPOINTRATELIMITER_H
#define MONSOONGRADE_ROUTING_ENDPOINTRATELIMITER_H

#include <monsoongrade/routing/ratelimitupdate.h>
#include <monsoongrade/routing/rateshare.h>

#include <optional>

namespace monsoongrade::routing {

// Limits the rate at which one host places requests on an endpoint that has announced a rate limit.
// The host uses a share of the limit. If each host uses its own equal part, the hosts take turns,
// and an unused turn expires: saved-up turns of all hosts would be used at the same moment.
class EndpointRateLimiter
{
public:
    // Sets the latest limit that the endpoint announced, or none. phase: from 0 to 1, spread evenly
    // over the hosts, so that hosts that learn of the limit together do not all send at the same
    // time. Returns whether the limit changed.
    bool setLimit(std::optional<RequestsPerSecond> limit, double phase, units::TimePoint now);
    const std::optional<RequestsPerSecond> &limit() const { return limit_; }

    // Whether the host may place another request, given its share of the limit.
    bool allows(const RateShare &share, units::TimePoint now) const;
    void onPlaced(const RateShare &share);

private:
    bool isOwnTurn(double fraction, units::TimePoint now) const;
    double levelAt(const RateShare &share) const;

    std::optional<RequestsPerSecond> limit_;
    // Leaky bucket: requests placed and not yet drained at the rate of the limit. Kept when a limit
    // is lifted, in case it returns.
    double level_ = 0;
    double accruedAtLevel_ = 0; // of the share, in seconds
    units::TimePoint limitedSince_{};
    double phase_ = 0;
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_ENDPOINTRATELIMITER_H
