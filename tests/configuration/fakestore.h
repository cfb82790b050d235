#ifndef MONSOONGRADE_TESTS_CONFIGURATION_FAKESTORE_H
#define MONSOONGRADE_TESTS_CONFIGURATION_FAKESTORE_H

#include <monsoongrade/platform/objectstore.h>

#include <functional>
#include <map>
#include <utility>

namespace monsoongrade::configuration {

// The object API in memory, with lost replies, stale reads, outages, and a hook that lets
// somebody else act just before a conditional update.
class FakeStore : public platform::ObjectStore
{
public:
    using Object = platform::StoredObject;
    using Version = platform::ObjectVersion;

    units::Result<Object> get(const std::string &name) override
    {
        ++calls;
        BOOST_LEAF_CHECK(up());
        const auto stale = previous_.find(name);
        if (staleReads > 0 && stale != previous_.end()) {
            --staleReads;
            return stale->second;
        }
        const auto found = objects_.find(name);
        if (found == objects_.end())
            return units::fail(units::ResultCode::ObjectNotFound, name);
        return found->second;
    }
    units::Result<std::vector<Object>> list(const std::string &) override
    {
        return std::vector<Object>();
    }
    units::Result<Version> createIfAbsent(const std::string &name,
                                          const std::string &value) override
    {
        return write(name, Version(), value, units::ResultCode::ObjectAlreadyExists);
    }
    units::Result<Version> updateIfVersion(const std::string &name, Version version,
                                           const std::string &value) override
    {
        if (beforeUpdate)
            std::exchange(beforeUpdate, {})();
        return write(name, version, value, units::ResultCode::VersionConflict);
    }
    units::Result<void> remove(const std::string &) override { return {}; }
    units::Result<void> removeIfVersion(const std::string &, Version) override { return {}; }
    units::Result<Object> waitForChange(const std::string &name, Version, units::Duration) override
    {
        return get(name);
    }

    int calls = 0;
    int staleReads = 0;
    int lostReplies = 0;
    // So many calls fail, once so many others have been answered.
    int outageAfter = 0;
    int outageCalls = 0;
    std::function<void()> beforeUpdate;

private:
    units::Result<void> up()
    {
        if (outageCalls == 0 || outageAfter-- > 0)
            return {};
        outageAfter = 0;
        --outageCalls;
        return units::fail(units::ResultCode::PlatformUnavailable, "outage");
    }
    units::Result<Version> write(const std::string &name, Version expected,
                                 const std::string &value, units::ResultCode refused)
    {
        ++calls;
        BOOST_LEAF_CHECK(up());
        Object &object = objects_[name];
        if (object.version != expected)
            return units::fail(refused, name);
        if (object.version != Version())
            previous_[name] = object;
        object = {name, Version(++lastVersion_), value};
        if (lostReplies > 0) {
            --lostReplies;
            return units::fail(units::ResultCode::PlatformUnavailable, "the reply was lost");
        }
        return object.version;
    }

    std::map<std::string, Object> objects_;
    std::map<std::string, Object> previous_;
    std::uint64_t lastVersion_ = 0;
};

} // namespace monsoongrade::configuration

#endif // MONSOONGRADE_TESTS_CONFIGURATION_FAKESTORE_H
