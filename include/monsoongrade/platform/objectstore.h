#ifndef MONSOONGRADE_PLATFORM_OBJECTSTORE_H
#define MONSOONGRADE_PLATFORM_OBJECTSTORE_H

#include <monsoongrade/units/clock.h>
#include <monsoongrade/units/ids.h>
#include <monsoongrade/units/result.h>

#include <cstdint>
#include <string>
#include <vector>

namespace monsoongrade::platform {

using ObjectVersion = units::StrongNumber<struct ObjectVersionTag, std::uint64_t>;

struct StoredObject
{
    std::string name;
    ObjectVersion version;
    std::string value;
};

// The platform's object API. Calls block until the answer or a time limit. A version is never
// given twice under one name, also not after a removal: a late conditional write or removal can
// then hit only the object that its sender had read.
// Errors: PlatformUnavailable (the call may have taken effect all the same), VersionConflict,
// ObjectNotFound, ObjectAlreadyExists, PlatformAnswerMalformed.
class ObjectStore
{
public:
    virtual ~ObjectStore() = default;
    virtual units::Result<StoredObject> get(const std::string &name) = 0;
    virtual units::Result<std::vector<StoredObject>> list(const std::string &prefix) = 0;
    virtual units::Result<ObjectVersion> createIfAbsent(const std::string &name,
                                                        const std::string &value)
        = 0;
    virtual units::Result<ObjectVersion>
    updateIfVersion(const std::string &name, ObjectVersion version, const std::string &value) = 0;
    virtual units::Result<void> remove(const std::string &name) = 0;
    // Removes the object only while it has this version.
    virtual units::Result<void> removeIfVersion(const std::string &name, ObjectVersion version) = 0;
    // Waits until the object has a version above the given one, or the wait is over, and
    // returns it as it then is. Counts as one read call.
    virtual units::Result<StoredObject> waitForChange(const std::string &name, ObjectVersion above,
                                                      units::Duration wait)
        = 0;
};

} // namespace monsoongrade::platform

#endif // MONSOONGRADE_PLATFORM_OBJECTSTORE_H
