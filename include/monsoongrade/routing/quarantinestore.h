#ifndef MONSOONGRADE_ROUTING_QUARANTINESTORE_H
#define MONSOONGRADE_ROUTING_QUARANTINESTORE_H

#include <monsoongrade/routing/crashupdate.h>

#include <functional>
#include <optional>
#include <vector>

namespace monsoongrade::routing {

// Keeps quarantined requests where they outlive all hosts.
class QuarantineStore
{
public:
    using Saved = std::function<void(bool isSaved)>;
    // The crashes of all requests that are kept; nothing if that is not known.
    using Read = std::function<void(std::optional<std::vector<CrashUpdate>>)>;

    virtual ~QuarantineStore() = default;
    // Keeps a request with its crashes; one that is kept already stays as it is.
    virtual void save(const RequestIdentity &request, const std::vector<CrashUpdate> &crashes,
                      Saved saved)
        = 0;
    virtual void remove(const RequestIdentity &request) = 0;
    virtual void readAll(Read read) = 0;
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_QUARANTINESTORE_H
