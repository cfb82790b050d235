#ifndef MONSOONGRADE_TESTS_REQUESTS_FAULTYSTORE_H
#define MONSOONGRADE_TESTS_REQUESTS_FAULTYSTORE_H

#include <monsoongrade/platform/objectstore.h>

#include <functional>
#include <map>
#include <vector>

namespace monsoongrade::requests {

// An object store in memory whose next calls can fail in the ways that the platform's do.
class FaultyStore : public platform::ObjectStore
{
public:
    enum Fault {
        None,
        // No call has an effect.
        Down,
        // Writes take effect; their replies are lost.
        LostReply,
        // Writes are lost for now and take effect, if they still can, on land().
        Delayed,
        FaultCount
    };

    units::Result<platform::StoredObject> get(const std::string &name) override
    {
        ++reads;
        if (fault == Down)
            return down();
        const auto stale = previous.find(name);
        if (staleReads > 0 && stale != previous.end()) {
            --staleReads;
            return stale->second;
        }
        const auto found = objects.find(name);
        if (found == objects.end())
            return units::fail(units::ResultCode::ObjectNotFound, name);
        return found->second;
    }
    units::Result<platform::ObjectVersion> createIfAbsent(const std::string &name,
                                                          const std::string &value) override
    {
        return write([this, name, value]() -> units::Result<platform::ObjectVersion> {
            if (objects.count(name) > 0)
                return units::fail(units::ResultCode::ObjectAlreadyExists, name);
            return put(name, value);
        });
    }
    units::Result<platform::ObjectVersion> updateIfVersion(const std::string &name,
                                                           platform::ObjectVersion version,
                                                           const std::string &value) override
    {
        return write([this, name, version, value]() -> units::Result<platform::ObjectVersion> {
            if (objects.count(name) == 0 || objects[name].version != version)
                return units::fail(units::ResultCode::VersionConflict, name);
            return put(name, value);
        });
    }
    units::Result<std::vector<platform::StoredObject>> list(const std::string &prefix) override
    {
        ++lists;
        if (fault == Down)
            return down();
        std::vector<platform::StoredObject> listed;
        for (const auto &[name, object] : objects) {
            if (name.compare(0, prefix.size(), prefix) == 0)
                listed.push_back(object);
        }
        return listed;
    }
    units::Result<void> remove(const std::string &) override { return down(); }
    units::Result<void> removeIfVersion(const std::string &name,
                                        platform::ObjectVersion version) override
    {
        BOOST_LEAF_CHECK(write([this, name, version]() -> units::Result<platform::ObjectVersion> {
            const auto found = objects.find(name);
            if (found == objects.end())
                return units::fail(units::ResultCode::ObjectNotFound, name);
            if (found->second.version != version)
                return units::fail(units::ResultCode::VersionConflict, name);
            objects.erase(found);
            return version;
        }));
        return {};
    }
    units::Result<platform::StoredObject>
    waitForChange(const std::string &, platform::ObjectVersion, units::Duration) override
    {
        return down();
    }

    void land()
    {
        for (const auto &write : std::exchange(delayed, {}))
            units::capture(write);
    }

    int fault = None;
    int reads = 0;
    int writes = 0;
    int lists = 0;
    // So many reads of objects that were overwritten answer what was there before.
    int staleReads = 0;
    std::map<std::string, platform::StoredObject> objects;
    std::function<void()> beforeWrite;
    std::map<std::string, platform::StoredObject> previous;
    std::vector<std::function<units::Result<platform::ObjectVersion>()>> delayed;

private:
    static boost::leaf::error_id down()
    {
        return units::fail(units::ResultCode::PlatformUnavailable, "down");
    }
    units::Result<platform::ObjectVersion> put(const std::string &name, const std::string &value)
    {
        const platform::ObjectVersion version(++version_);
        if (objects.count(name) > 0)
            previous[name] = objects[name];
        objects[name] = {name, version, value};
        return version;
    }
    units::Result<platform::ObjectVersion>
    write(const std::function<units::Result<platform::ObjectVersion>()> &effect)
    {
        ++writes;
        if (beforeWrite)
            beforeWrite();
        if (fault == Delayed)
            delayed.push_back(effect);
        if (fault == LostReply)
            units::capture(effect);
        return fault == None ? effect() : units::Result<platform::ObjectVersion>(down());
    }

    std::uint64_t version_ = 0;
};

} // namespace monsoongrade::requests

#endif // MONSOONGRADE_TESTS_REQUESTS_FAULTYSTORE_H
