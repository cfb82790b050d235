#ifndef MONSOONGRADE_ROUTING_FORWARDINGHOSTS_H
#define MONSOONGRADE_ROUTING_FORWARDINGHOSTS_H

#include <monsoongrade/routing/peertable.h>
#include <monsoongrade/units/clock.h>
#include <monsoongrade/units/ids.h>

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace monsoongrade::routing {

// Selects the hosts to which this one passes requests for a pool that it can't reach itself.
class ForwardingHosts
{
public:
    // Returns the IP of the host with the fewest forwarded requests for its processor share, or an
    // empty text. Only hosts that accept requests, do not report the pool as unreachable and have
    // not failed lately are considered, and none of the excluded ones.
    std::string select(const std::vector<PeerUpdate> &live, const units::PoolName &pool,
                       const units::FailureDomain &ownDomain,
                       const std::vector<std::string> &excluded, units::TimePoint now) const;

    void onForwarded(const std::string &host) { ++open_[host]; }
    void onEnded(const std::string &host);
    // The host did not accept the connection, or could not reach the pool either.
    void onFailed(const std::string &host, const units::PoolName &pool, units::TimePoint now);

private:
    bool hasFailedLately(const std::string &host, const units::PoolName &pool,
                         units::TimePoint now) const;

    std::map<std::string, int> open_; // requests by host
    std::map<std::pair<std::string, std::string>, units::TimePoint> failedAt_; // by host and pool
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_FORWARDINGHOSTS_H
