#ifndef MONSOONGRADE_ROUTING_POOLVERSIONS_H
#define MONSOONGRADE_ROUTING_POOLVERSIONS_H

#include <monsoongrade/units/clock.h>
#include <monsoongrade/units/ids.h>

#include <cstdint>
#include <map>
#include <set>

namespace monsoongrade::routing {

// What a host knows of the software versions of a pool's endpoints.
struct PoolVersionHistory
{
    enum class Kind : std::uint8_t {
        Unknown, // not listed for long enough, or not lately
        OneVersion,
        SeveralVersions,
    };

    Kind kind = Kind::Unknown;
    units::SoftwareVersion version; // of OneVersion
};

// The software versions that the endpoints of each pool have had lately, as listed in the store.
class PoolVersions
{
public:
    // A stream is resumed within its client's deadline. A version that left a pool so long ago has
    // no streams that may still be resumed.
    static constexpr std::chrono::seconds MaxStreamAge{20};
    // A version may appear and leave unnoticed in a longer time without a list.
    static constexpr std::chrono::seconds MaxListGap{3};

    // The endpoints of the pool that are listed now have these versions. Called several times a
    // second, and only while the list is known to be current.
    void onListed(const units::PoolName &pool, const std::set<units::SoftwareVersion> &versions,
                  units::TimePoint now);
    // OneVersion only if the pool has been listed without a gap for MaxStreamAge until now.
    PoolVersionHistory history(const units::PoolName &pool, units::TimePoint now) const;

private:
    struct Pool
    {
        units::TimePoint listedSince;
        units::TimePoint listedAt;
        std::map<units::SoftwareVersion, units::TimePoint> lastSeenAt;
    };

    std::map<units::PoolName, Pool> pools_;
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_POOLVERSIONS_H
