#ifndef MONSOONGRADE_ROUTING_POOLVERSIONS_H
#define MONSOONGRADE_ROUTING_POOLVERSIONS_H

#include <monsoongrade/units/clock.h>
#include <monsoongrade/units/ids.h>

#include <algorithm>
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
    // The only one seen lately, also if others may have been missed; empty if there is none.
    units::SoftwareVersion version;
};

// The software versions that the endpoints of each pool have had lately, as listed in the store.
class PoolVersions
{
public:
    // A stream is resumed within its client's deadline. A version that left a pool so long ago has
    // no streams that may still be resumed, unless routes allow longer ones.
    static constexpr std::chrono::seconds MaxStreamAge{20};
    // A version may appear and leave unnoticed in a longer time without a list.
    static constexpr std::chrono::seconds MaxListGap{3};

    // The versions of a pool seen within the time in which streams are resumed.
    struct Recent
    {
        std::map<units::SoftwareVersion, units::TimePoint> appearedAt;
        bool isComplete = false; // the pool has been listed without a gap for that time
    };

    // Streams of a pool may be resumed for so long; MaxStreamAge at least.
    void setStreamAge(units::Duration age)
    {
        streamAge_ = std::max<units::Duration>(age, MaxStreamAge);
    }
    units::Duration streamAge() const { return streamAge_; }

    // The endpoints of the pool that are listed now have these versions. Called several times a
    // second, and only while the list is known to be current.
    void onListed(const units::PoolName &pool, const std::set<units::SoftwareVersion> &versions,
                  units::TimePoint now);
    // Endpoints of these versions are in a list that others may be missing from.
    void onSeen(const units::PoolName &pool, const std::set<units::SoftwareVersion> &versions,
                units::TimePoint now);
    // OneVersion only if the pool has been listed without a gap for as long as streams are resumed.
    PoolVersionHistory history(const units::PoolName &pool, units::TimePoint now) const;
    Recent recent(const units::PoolName &pool, units::TimePoint now) const;
    // Whether any pool has had several versions lately.
    bool hasSeveralVersions(units::TimePoint now) const;

private:
    struct Version
    {
        units::TimePoint appearedAt;
        units::TimePoint seenAt;
    };
    struct Pool
    {
        bool isListed = false;
        units::TimePoint listedSince;
        units::TimePoint listedAt;
        std::map<units::SoftwareVersion, Version> versions;
    };

    std::map<units::PoolName, Pool> pools_;
    units::Duration streamAge_ = MaxStreamAge;
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_POOLVERSIONS_H
