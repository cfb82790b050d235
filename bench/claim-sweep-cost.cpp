// What the removal of claims costs the platform's store and the daemons that do it: claims are
// taken at an even rate by routers that read the epoch as all do, on a store in memory in the
// injected clock, until what is kept no longer grows. Arguments: claims a second, sweepers.

#include <monsoongrade/requests/claimsweeper.h>
#include <monsoongrade/units/manualclock.h>

#include <cstdlib>
#include <iostream>
#include <map>
#include <memory>
#include <vector>

namespace {

using namespace monsoongrade;
using platform::ObjectVersion;
using platform::StoredObject;
using units::ResultCode;

constexpr auto Warm = std::chrono::hours(48);
constexpr auto Measured = std::chrono::hours(24);
// Names, versions and quotes of the API's answer beside a claim's own text.
constexpr std::size_t ListOverhead = 40;

class CountingStore : public platform::ObjectStore
{
public:
    units::Result<StoredObject> get(const std::string &name) override
    {
        ++reads;
        const auto found = objects.find(name);
        if (found == objects.end())
            return units::fail(ResultCode::ObjectNotFound, name);
        return found->second;
    }
    units::Result<std::vector<StoredObject>> list(const std::string &prefix) override
    {
        ++lists;
        std::vector<StoredObject> listed;
        for (auto at = objects.lower_bound(prefix);
             at != objects.end() && at->first.compare(0, prefix.size(), prefix) == 0; ++at) {
            listed.push_back(at->second);
            listedBytes += at->first.size() + at->second.value.size() + ListOverhead;
        }
        return listed;
    }
    units::Result<ObjectVersion> createIfAbsent(const std::string &name,
                                                const std::string &value) override
    {
        if (objects.count(name) > 0)
            return units::fail(ResultCode::ObjectAlreadyExists, name);
        objects[name] = {name, ObjectVersion(++version_), value};
        return ObjectVersion(version_);
    }
    units::Result<ObjectVersion> updateIfVersion(const std::string &name, ObjectVersion version,
                                                 const std::string &value) override
    {
        ++sweepWrites;
        if (objects.count(name) == 0 || objects[name].version != version)
            return units::fail(ResultCode::VersionConflict, name);
        objects[name] = {name, ObjectVersion(++version_), value};
        return ObjectVersion(version_);
    }
    units::Result<void> remove(const std::string &) override { return {}; }
    units::Result<void> removeIfVersion(const std::string &name, ObjectVersion version) override
    {
        ++sweepWrites;
        const auto found = objects.find(name);
        if (found == objects.end() || found->second.version != version)
            return units::fail(ResultCode::VersionConflict, name);
        objects.erase(found);
        return {};
    }
    units::Result<StoredObject> waitForChange(const std::string &name, ObjectVersion,
                                              units::Duration) override
    {
        return get(name);
    }

    std::map<std::string, StoredObject> objects;
    std::uint64_t reads = 0;
    std::uint64_t lists = 0;
    std::uint64_t listedBytes = 0;
    std::uint64_t sweepWrites = 0;

private:
    std::uint64_t version_ = 0;
};

struct Sweeper
{
    Sweeper(CountingStore &store, const units::Clock &clock, std::uint64_t start)
        : claims(store, clock, metrics)
        , sweeper(store, claims, clock, metrics, {}, {}, start)
    {
    }
    observability::Metrics metrics;
    requests::ClaimStore claims;
    requests::ClaimSweeper sweeper;
    units::TimePoint next;
};

} // namespace

int main(int argc, char **argv)
{
    const int rate = argc > 1 ? std::atoi(argv[1]) : 1;
    const auto count = static_cast<std::size_t>(argc > 2 ? std::atoi(argv[2]) : 8);
    CountingStore store;
    units::ManualClock clock;
    std::vector<std::unique_ptr<Sweeper>> sweepers;
    for (std::size_t i = 0; i < count; ++i)
        sweepers.push_back(std::make_unique<Sweeper>(store, clock, i * 37));
    const units::TimePoint begun = clock.now();
    std::uint64_t key = 0;
    for (units::Duration tick{}; clock.now() - begun < Warm + Measured;
         tick = std::chrono::milliseconds(100)) {
        clock.advance(tick);
        if (clock.now() - begun < Warm)
            store.reads = store.lists = store.listedBytes = store.sweepWrites = 0;
        const auto wanted = static_cast<std::uint64_t>(
            std::chrono::duration<double>(clock.now() - begun).count() * rate);
        for (; key < wanted; ++key) {
            const std::string name
                = requests::claimName(units::WorkspaceName("workspace-1234"),
                                      units::IdempotencyKey("voucher-" + std::to_string(key)));
            sweepers[0]->claims.claim(
                name,
                {units::RequestId("host-000-1764712345678901-" + std::to_string(key)),
                 units::DaemonId("host-000.router.1764712345678901"), std::string(32, 'f')});
        }
        for (std::size_t i = 0; i < count; ++i) {
            if (clock.now() >= sweepers[i]->next)
                sweepers[i]->next = clock.now() + sweepers[i]->sweeper.step({i, count});
        }
    }
    const double seconds = std::chrono::duration<double>(Measured).count();
    std::cout << "claims/s " << rate << ", sweepers " << count << "\nkept claims "
              << store.objects.size() - 1 << " = "
              << static_cast<double>(store.objects.size() - 1) / rate / 3600 << " h of them\n"
              << "sweep writes/s " << static_cast<double>(store.sweepWrites) / seconds
              << "\nreads/s " << static_cast<double>(store.reads) / seconds << "\nlists/s "
              << static_cast<double>(store.lists) / seconds << "\nlisted B/s a sweeper "
              << static_cast<double>(store.listedBytes) / seconds / static_cast<double>(count)
              << "\nlisted B a claim and pass "
              << static_cast<double>(store.listedBytes) / 3
            / static_cast<double>(store.objects.size())
              << '\n';
}
