#ifndef MONSOONGRADE_ROUTING_ENDPOINTRATELIMITER_H
#define MONSOONGRADE_ROUTING_ENDPOINTRATELIMITER_H

#include <monsoongrade/routing/ratelimitupdate.h>

#include <optional>

namespace monsoongrade::routing {

// Spaces out what one host places on an endpoint that has named a limit. The host uses a share of
// the limit: all of it where it places for all hosts, an equal part where each places for itself.
// Hosts with a part take turns, and a turn that is not used is lost: parts that were saved up would
// be used at the same moment, as when the host that places for all is lost.
class EndpointRateLimiter
{
public:
    // The endpoint's latest word; none: no limit. phase: 0 to 1, spread evenly over the hosts, so
    // that those which learn of the limit together do not all send at one moment later. Returns
    // whether the limit changed.
    bool setLimit(std::optional<RequestsPerSecond> limit, double phase, units::TimePoint now);
    const std::optional<RequestsPerSecond> &limit() const { return limit_; }

    // Whether the host may place another request there, with this share of the limit.
    bool allows(double share, units::TimePoint now) const;
    void onPlaced(double share, units::TimePoint now);

private:
    bool isOwnTurn(double share, units::TimePoint now) const;
    double debtAt(double share, units::TimePoint now) const;

    std::optional<RequestsPerSecond> limit_;
    // Requests placed that the limit has not yet made up for.
    double debt_ = 0;
    units::TimePoint debtSince_{};
    units::TimePoint limitedSince_{};
    double phase_ = 0;
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_ENDPOINTRATELIMITER_H
