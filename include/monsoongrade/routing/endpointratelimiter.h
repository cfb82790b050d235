#ifndef MONSOONGRADE_ROUTING_ENDPOINTRATELIMITER_H
#define MONSOONGRADE_ROUTING_ENDPOINTRATELIMITER_H

#include <monsoongrade/routing/ratelimitupdate.h>

#include <optional>

namespace monsoongrade::routing {

// Limits the rate at which one host places requests on an endpoint that has announced a rate limit.
// The host uses a share of the limit: all of it if it places requests for all hosts, an equal part
// if each host places its own. In the second case the hosts take turns, and an unused turn expires:
// saved-up turns of all hosts would be used at the same moment, as when the coordinator is lost.
class EndpointRateLimiter
{
public:
    // Sets the latest limit that the endpoint announced, or none. phase: from 0 to 1, spread evenly
    // over the hosts, so that hosts that learn of the limit together do not all send at the same
    // time. Returns whether the limit changed.
    bool setLimit(std::optional<RequestsPerSecond> limit, double phase, units::TimePoint now);
    const std::optional<RequestsPerSecond> &limit() const { return limit_; }

    // Whether the host may place another request, given its share of the limit.
    bool allows(double share, units::TimePoint now) const;
    void onPlaced(double share, units::TimePoint now);

private:
    bool isOwnTurn(double share, units::TimePoint now) const;
    double levelAt(double share, units::TimePoint now) const;

    std::optional<RequestsPerSecond> limit_;
    // Leaky bucket: requests placed and not yet drained at the rate of the limit.
    double level_ = 0;
    units::TimePoint levelUpdatedAt_{};
    units::TimePoint limitedSince_{};
    double phase_ = 0;
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_ENDPOINTRATELIMITER_H
