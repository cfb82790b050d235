#ifndef MONSOONGRADE_MEMBERSHIP_MEMBERRECORD_H
#define MONSOONGRADE_MEMBERSHIP_MEMBERRECORD_H

#include <monsoongrade/units/ids.h>

#include <cstdint>
#include <string>
#include <tuple>

namespace monsoongrade::membership {

enum class DaemonRole : std::uint8_t { Router, Scheduler };

// In the order in which one overrules the other while the member has not answered back.
enum class Health : std::uint8_t { Alive, Suspected, Dead };

// A daemon's place in the fleet: it stays the same when the daemon is restarted.
struct MemberId
{
    units::HostName host;
    DaemonRole role = DaemonRole::Router;

    friend bool operator==(const MemberId &a, const MemberId &b)
    {
        return a.role == b.role && a.host == b.host;
    }
    friend bool operator!=(const MemberId &a, const MemberId &b) { return !(a == b); }
    friend bool operator<(const MemberId &a, const MemberId &b)
    {
        return std::tie(a.host, a.role) < std::tie(b.host, b.role);
    }
};

// What is known of one daemon. Records of one daemon merge to the same result in whatever order
// and however often they arrive, so lost, late and repeated news can't leave daemons apart.
struct MemberRecord
{
    MemberId id;
    std::string address;
    units::FailureDomain failureDomain;
    // Start time of the daemon's process in microseconds, so a restarted one outranks all that
    // was said of the earlier; 0 where the daemon is known from the host list only.
    std::uint64_t life = 0;
    // Counts the daemon's own denials of being suspected or dead. Only the daemon raises it.
    std::uint32_t refutation = 0;
    Health health = Health::Alive;
    // Never taken back within one life.
    bool leaving = false;
};

// Takes over what the news knows better; tells whether anything changed.
bool mergeInto(MemberRecord &record, const MemberRecord &news);

// Equal for equal ids on every host and in every version.
std::uint64_t stableHash(const MemberId &id, const std::string &salt);

} // namespace monsoongrade::membership

#endif // MONSOONGRADE_MEMBERSHIP_MEMBERRECORD_H
