#ifndef MONSOONGRADE_ROUTING_ENDPOINTREACH_H
#define MONSOONGRADE_ROUTING_ENDPOINTREACH_H

#include <monsoongrade/units/clock.h>
#include <monsoongrade/units/ids.h>

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace monsoongrade::routing {

// Whether this host can connect to the endpoints of each pool. If connections to several endpoints
// fail and none succeeds, the fault is taken for this host's network path: single endpoints fail
// one at a time, and other hosts may still reach all of them.
//
// Responses on open connections do not count, because they can outlive the path on which new ones
// are made.
class EndpointReach
{
public:
    enum class Change {
        None,
        Lost,
        Regained,
    };

    // A connection to an endpoint of the pool was made.
    Change onConnected(const units::PoolName &pool, units::TimePoint now);
    // A connection that was begun at this time could not be made. poolSize: endpoints listed.
    Change onConnectFailed(const units::PoolName &pool, const units::EndpointId &endpoint,
                           units::TimePoint begunAt, std::size_t poolSize, units::TimePoint now);

    // The pool has no endpoints any more.
    void forget(const units::PoolName &pool);

    bool isLost(const units::PoolName &pool) const;
    // Pools that this host can't reach, in the order of their names.
    std::vector<units::PoolName> lostPools() const;
    // Number of endpoints whose connections would have to fail, beside those that did, for the pool
    // to count as lost.
    std::size_t failuresUntilLost(const units::PoolName &pool, std::size_t poolSize,
                                  units::TimePoint now) const;
    // Whether a connection to the endpoint failed and none to its pool has succeeded since.
    bool hasFailed(const units::PoolName &pool, const units::EndpointId &endpoint) const;

private:
    struct PoolReach
    {
        units::TimePoint connectedAt{};
        std::map<std::string, units::TimePoint> failedAt; // by endpoint, since connectedAt
        bool isLost = false;
    };

    std::map<std::string, PoolReach> pools_; // by name
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_ENDPOINTREACH_H
