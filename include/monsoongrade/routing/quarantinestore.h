#ifndef MONSOONGRADE_ROUTING_QUARANTINESTORE_H
#define MONSOONGRADE_ROUTING_QUARANTINESTORE_H

#include <monsoongrade/routing/crashupdate.h>

#include <functional>
#include <optional>
#include <vector>

namespace monsoongrade::routing {

// Persistent storage of quarantined requests that survives a restart of all hosts.
class QuarantineStore
{
public:
    using Saved = std::function<void(bool isSaved)>;
    // The crashes of all stored requests; nullopt if they could not be read.
    using Read = std::function<void(std::optional<std::vector<CrashUpdate>>)>;

    // Whether a request is stored; nullopt if that is not known.
    using Found = std::function<void(std::optional<bool>)>;

    virtual ~QuarantineStore() = default;
    // Stores a request with its crashes; a request that is already stored is left unchanged.
    virtual void save(const RequestIdentity &request, const std::vector<CrashUpdate> &crashes,
                      Saved saved)
        = 0;
    virtual void remove(const RequestIdentity &request) = 0;
    // Reads all, as of some seconds ago at most.
    virtual void readAll(Read read) = 0;
    // Looks for one request, as of now.
    virtual void find(const RequestIdentity &request, Found found) = 0;
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_QUARANTINESTORE_H
