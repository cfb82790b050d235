#ifndef MONSOONGRADE_GATEWAY_STOREDSTREAMVERSIONS_H
#define MONSOONGRADE_GATEWAY_STOREDSTREAMVERSIONS_H

#include <monsoongrade/routing/streamidentity.h>
#include <monsoongrade/routing/streamversionreport.h>

#include <functional>
#include <string>

namespace monsoongrade::gateway {

// What the store holds about the software versions of streams and pools.
class StoredStreamVersions
{
public:
    using Found = std::function<void(const routing::StoredStreamVersion &)>;

    virtual ~StoredStreamVersions() = default;
    // Reads what the store holds about a stream and its pool, the pool as of a time after the
    // call. Calls found once, with nothing known if the store does not respond.
    virtual void find(const routing::StreamIdentity &stream, const units::PoolName &pool,
                      Found found)
        = 0;
    // IP of the host that saves the stream's version; empty if there is none.
    virtual std::string savingHost(const routing::StreamIdentity &stream) const = 0;
    // Saves the stream's version, if this is a host that does, within about half a second.
    virtual void save(const routing::StreamIdentity &stream, const units::SoftwareVersion &version)
        = 0;
};

} // namespace monsoongrade::gateway

#endif // MONSOONGRADE_GATEWAY_STOREDSTREAMVERSIONS_H
