#ifndef MONSOONGRADE_ROUTING_POOLVERSIONSTORE_H
#define MONSOONGRADE_ROUTING_POOLVERSIONSTORE_H

#include <monsoongrade/routing/revision.h>
#include <monsoongrade/units/ids.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>

namespace monsoongrade::routing {

// The software versions of a pool whose streams may still be resumed, as stored.
struct StoredPoolVersions
{
    std::set<units::SoftwareVersion> versions;
    // Higher in each write, so that a write that depends on an earlier state fails.
    std::uint64_t update = 0;
    Revision revision; // 0: not stored yet
    bool isReadable = true; // otherwise there is an object, but nothing is known of it
};

using AllStoredPoolVersions = std::map<units::PoolName, StoredPoolVersions>;

// Storage of the pools' versions that survives a restart of all hosts.
class PoolVersionStore
{
public:
    // nullopt if they could not be read.
    using Read = std::function<void(std::optional<AllStoredPoolVersions>)>;
    // The new revision; nullopt if the write failed or its outcome is not known.
    using Written = std::function<void(std::optional<Revision>)>;

    virtual ~PoolVersionStore() = default;
    // Reads all pools' versions as of a time after the call.
    virtual void readAll(Read read) = 0;
    // Replaces the stored state if that still has the revision in versions.
    virtual void write(const units::PoolName &pool, const StoredPoolVersions &versions,
                       Written written)
        = 0;
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_POOLVERSIONSTORE_H
