#include <monsoongrade/routing/poolversionwriter.h>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <array>

using namespace monsoongrade;
using namespace monsoongrade::routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const units::SoftwareVersion V1("v1");
const units::SoftwareVersion V2("v2");
const units::PoolName Pool("p");
constexpr units::TimePoint Start{seconds(100)};
constexpr auto Step = milliseconds(100);
constexpr auto StreamAge = PoolVersions::MaxStreamAge;

// The store's object of one pool, with conditional writes.
class StoredObject
{
public:
    bool write(const StoredPoolVersions &versions)
    {
        if (!(versions.revision == object_.revision))
            return false;
        object_ = versions;
        object_.revision = Revision(++revision_);
        ++writes_;
        return true;
    }
    AllStoredPoolVersions read() const
    {
        return revision_ == 0 ? AllStoredPoolVersions{} : AllStoredPoolVersions{{Pool, object_}};
    }
    const std::set<units::SoftwareVersion> &versions() const { return object_.versions; }
    int writes() const { return writes_; }

private:
    StoredPoolVersions object_;
    std::uint64_t revision_ = 0;
    int writes_ = 0;
};

// One host: its list, and what it writes.
struct Host
{
    PoolVersions seen;
    PoolVersionWriter writer;

    void list(const std::set<units::SoftwareVersion> &versions, units::TimePoint now)
    {
        seen.onListed(Pool, versions, now);
    }
    void write(StoredObject &store, std::optional<std::size_t> rank, units::TimePoint now)
    {
        PoolVersionWriter::Step step = writer.next(seen, {Pool}, rank, now);
        if (step.mustRead) {
            writer.onRead(store.read(), now, now);
            step = writer.next(seen, {Pool}, rank, now);
        }
        for (const auto &[pool, versions] : step.writes) {
            if (store.write(versions))
                writer.onWritten(pool, store.read().at(pool));
            else
                writer.onWriteFailed();
        }
    }
};

PeerUpdate host(const std::string &ip, PeerState state, bool reachesStore)
{
    PeerUpdate update;
    update.ip = ip;
    update.state = state;
    update.storeReachableFor = reachesStore ? seconds(1) : seconds(0);
    return update;
}

} // namespace

TEST_CASE("PoolVersionWriter.NewVersionIsWrittenAtOnce")
{
    StoredObject store;
    Host first;
    first.list({V1}, Start);
    first.write(store, 0, Start);
    CHECK(store.versions() == std::set{V1});
    first.list({V1, V2}, Start + Step);
    first.write(store, 0, Start + Step);
    CHECK(store.versions() == std::set{V1, V2});
}

// Guards against an object that stays unreadable, and against one that replaces it without a
// version whose streams may still be resumed.
TEST_CASE("PoolVersionWriter.UnreadableObjectIsReplacedOnceAllVersionsAreKnown")
{
    StoredObject store;
    StoredPoolVersions unreadable;
    unreadable.isReadable = false;
    REQUIRE(store.write(unreadable));
    Host first;
    for (units::TimePoint now = Start; now < Start + StreamAge; now += Step) {
        first.list({V1}, now);
        first.write(store, 0, now);
    }
    CHECK(store.versions().empty());
    first.list({V1}, Start + StreamAge);
    first.write(store, 0, Start + StreamAge);
    CHECK(store.versions() == std::set{V1});
    CHECK(store.read().at(Pool).isReadable);
}

// Guards against a write for each look at an unchanged list.
TEST_CASE("PoolVersionWriter.UnchangedVersionsAreNotWritten")
{
    StoredObject store;
    Host first;
    Host second;
    for (units::TimePoint now = Start; now < Start + seconds(60); now += Step) {
        first.list({V1}, now);
        second.list({V1}, now);
        first.write(store, 0, now);
        second.write(store, 1, now);
    }
    CHECK(store.writes() == 2); // one of each host after the appearance
}

// Guards against a version that nobody writes because the first host is out of step.
TEST_CASE("PoolVersionWriter.LaterHostsWriteIfTheFirstDoesNot")
{
    StoredObject store;
    Host second;
    second.list({V1}, Start);
    second.write(store, 1, Start);
    CHECK(store.writes() == 0);
    second.write(store, 1, Start + milliseconds(150));
    CHECK(store.versions() == std::set{V1});
}

// Guards against forgetting a version in the store while its streams may still be resumed.
TEST_CASE("PoolVersionWriter.VersionIsRemovedWhenItsStreamsAreOver")
{
    StoredObject store;
    Host first;
    first.list({V1, V2}, Start);
    first.write(store, 0, Start);
    const units::TimePoint end = Start + StreamAge + PoolVersions::MaxListGap + Step;
    for (units::TimePoint now = Start + Step; now < end; now += Step) {
        first.list({V1}, now);
        first.write(store, 0, now);
        CHECK(store.versions() == std::set{V1, V2});
    }
    first.list({V1}, end);
    first.write(store, 0, end);
    CHECK(store.versions() == std::set{V1});
}

// Guards against a host that has just started and removes a version that it never saw.
TEST_CASE("PoolVersionWriter.HostThatHasJustStartedRemovesNothing")
{
    StoredObject store;
    Host earlier;
    earlier.list({V1, V2}, Start);
    earlier.write(store, 0, Start);
    Host later;
    for (units::TimePoint now = Start; now < Start + StreamAge; now += Step) {
        later.list({V1}, now);
        later.write(store, 0, now);
    }
    CHECK(store.versions() == std::set{V1, V2});
}

// Guards against a host with an old list that removes a version which has just come back.
TEST_CASE("PoolVersionWriter.RemovalFailsAfterTheVersionReappeared")
{
    StoredObject store;
    Host late;
    Host current;
    late.list({V1, V2}, Start);
    late.write(store, 0, Start);
    const units::TimePoint end = Start + StreamAge + PoolVersions::MaxListGap;
    for (units::TimePoint now = Start + Step; now <= end; now += Step) {
        late.list({V1}, now);
        late.write(store, 0, now);
        current.list({V1}, now);
    }
    current.list({V1, V2}, end);
    current.write(store, 0, end);
    late.list({V1}, end + Step); // lacks the change
    late.write(store, 0, end + Step);
    CHECK(store.versions() == std::set{V1, V2});
}

// Guards against a set in the store that lacks a version with streams, for any order in which
// versions come and go, hosts see it late, stand still, and start again.
TEST_CASE("PoolVersionWriter.StoreHoldsAllVersionsThatMayHaveStreams")
{
    CHECK(rc::check("versions listed within the streams' age are stored", [] {
        const std::array<units::SoftwareVersion, 3> all{V1, V2, units::SoftwareVersion("v3")};
        StoredObject store;
        std::array<Host, 2> hosts;
        std::array<units::TimePoint, 2> stillUntil{Start, Start};
        std::array<units::TimePoint, 3> listedAt{};
        std::array<units::TimePoint, 3> listedSince{};
        std::set<units::SoftwareVersion> listed{V1};
        listedAt[0] = Start;
        listedSince[0] = Start;
        for (units::TimePoint now = Start; now < Start + seconds(90); now += Step) {
            if (*rc::gen::inRange(0, 40) == 0) {
                const auto &version = *rc::gen::elementOf(all);
                if (listed.count(version) == 0)
                    listed.insert(version);
                else if (listed.size() > 1)
                    listed.erase(version);
            }
            // One host at a time is out of step, for less than its list counts as current.
            const auto out = std::size_t(*rc::gen::inRange(0, 2));
            const bool isOther = stillUntil[1 - out] > now;
            if (!isOther && *rc::gen::inRange(0, 60) == 0)
                stillUntil[out] = now + milliseconds(*rc::gen::inRange(100, 2500));
            if (!isOther && *rc::gen::inRange(0, 300) == 0)
                hosts[out] = {};
            for (std::size_t i = 0; i < hosts.size(); ++i) {
                if (stillUntil[i] > now)
                    continue;
                hosts[i].list(listed, now);
                hosts[i].write(store, i, now);
            }
            for (std::size_t i = 0; i < all.size(); ++i) {
                if (listed.count(all[i]) == 0)
                    continue;
                if (now - listedAt[i] > Step)
                    listedSince[i] = now;
                listedAt[i] = now;
            }
            for (std::size_t i = 0; i < all.size(); ++i) {
                const bool mayHaveStreams = listedAt[i] != units::TimePoint{}
                    && listedAt[i] - listedSince[i] >= 5 * Step && now - listedAt[i] < StreamAge;
                RC_ASSERT(!mayHaveStreams || store.versions().count(all[i]) == 1);
            }
        }
    }));
}

TEST_CASE("PoolVersionWriter.FirstHostsThatReachTheStoreWrite")
{
    const std::vector<PeerUpdate> hosts{
        host("10.0.0.6", PeerState::Serving, true),  host("10.0.0.5", PeerState::Leaving, true),
        host("10.0.0.4", PeerState::Serving, false), host("10.0.0.3", PeerState::Serving, true),
        host("10.0.0.2", PeerState::NotReady, true), host("10.0.0.7", PeerState::Serving, true)};
    CHECK(versionWriters(hosts) == std::vector<std::string>{"10.0.0.2", "10.0.0.3", "10.0.0.6"});
    CHECK(versionWriters({}).empty());
}
