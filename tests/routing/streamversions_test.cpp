#include <monsoongrade/routing/poolversions.h>
#include <monsoongrade/routing/streamhomes.h>
#include <monsoongrade/routing/streamversionreport.h>
#include <monsoongrade/routing/streamversions.h>

#include <doctest/doctest.h>

#include <algorithm>

using namespace monsoongrade;
using namespace monsoongrade::routing;
using std::chrono::seconds;
using Kind = PoolVersionHistory::Kind;

namespace {

const units::SoftwareVersion V1("v1");
const units::SoftwareVersion V2("v2");
const units::PoolName Pool("p");
constexpr units::TimePoint Start{seconds(100)};

StreamIdentity stream(const std::string &request, const std::string &workspace = "w")
{
    return {units::WorkspaceName(workspace), units::RequestId(request)};
}

std::vector<PeerUpdate> hosts(int count)
{
    std::vector<PeerUpdate> result;
    for (int i = 0; i < count; ++i) {
        PeerUpdate host;
        host.ip = "10.0.0." + std::to_string(i);
        host.state = PeerState::Serving;
        result.push_back(host);
    }
    return result;
}

// The history of a pool that is listed with these versions every second for so long.
PoolVersions listedFor(seconds time, const std::set<units::SoftwareVersion> &versions)
{
    PoolVersions pools;
    for (seconds passed{0}; passed <= time; passed += seconds(1))
        pools.onListed(Pool, versions, Start + passed);
    return pools;
}

} // namespace

TEST_CASE("StreamVersions.VersionIsFoundForAMinute")
{
    StreamVersions versions;
    versions.add(stream("a"), V1, Start);
    CHECK(versions.find(stream("a"), Start + seconds(59)) == V1);
    CHECK_FALSE(versions.find(stream("b"), Start));
    CHECK_FALSE(versions.find(stream("a"), Start + seconds(200)));
}

// Guards against a client that learns of, or changes, the version of another workspace's stream.
TEST_CASE("StreamVersions.StreamsOfOtherWorkspacesAreNotFound")
{
    StreamVersions versions;
    versions.add(stream("a", "w1"), V1, Start);
    CHECK_FALSE(versions.find(stream("a", "w2"), Start));
}

// Guards against resuming one of two streams with the same id at the version of the other.
TEST_CASE("StreamVersions.IdUsedAtTwoVersionsIsNotFound")
{
    StreamVersions versions;
    versions.add(stream("a"), V1, Start);
    versions.add(stream("a"), V1, Start + seconds(1));
    CHECK(versions.find(stream("a"), Start + seconds(1)) == V1);
    versions.add(stream("a"), V2, Start + seconds(2));
    versions.add(stream("a"), V2, Start + seconds(3));
    CHECK_FALSE(versions.find(stream("a"), Start + seconds(3)));
    versions.add(stream("b"), V1, Start + seconds(4));
    versions.add(stream("c"), V1, Start + seconds(64)); // starts a new generation
    versions.add(stream("b"), V2, Start + seconds(65));
    CHECK_FALSE(versions.find(stream("b"), Start + seconds(65)));
}

// Guards against memory that grows with the ids that clients choose.
TEST_CASE("StreamVersions.MemoryIsBounded")
{
    StreamVersions versions;
    for (int i = 0; i < 100000; ++i)
        versions.add(stream("id" + std::to_string(i)), V1, Start);
    CHECK(versions.size() <= 2 * 16384);
    CHECK(versions.find(stream("id99999"), Start) == V1);
    const std::string longId(StreamVersions::MaxIdLength + 1, 'x');
    versions.add(stream(longId), V1, Start);
    CHECK_FALSE(versions.find(stream(longId), Start));
}

// Guards against asking hosts that were not told.
TEST_CASE("StreamHomes.HostsThatAskFindThoseThatWereTold")
{
    const std::vector<PeerUpdate> all = hosts(30);
    for (int i = 0; i < 200; ++i) {
        const StreamIdentity each = stream("s" + std::to_string(i));
        std::vector<PeerUpdate> others = all;
        others.erase(others.begin() + i % 30);
        const auto told = streamHomes(each, others, StreamHomes);
        CHECK(told.size() == StreamHomes);
        // The asking host is another one, and two of those that were told are gone.
        std::vector<PeerUpdate> later;
        for (const PeerUpdate &host : all) {
            if (host.ip != told[0] && host.ip != told[1] && host.ip != all[(i + 7) % 30].ip)
                later.push_back(host);
        }
        const auto asked = streamHomes(each, later, AskedStreamHomes);
        const bool isFound = std::find(asked.begin(), asked.end(), told[2]) != asked.end();
        CHECK((isFound || told[2] == all[(i + 7) % 30].ip));
    }
}

TEST_CASE("StreamHomes.LeavingHostsAreNotTold")
{
    std::vector<PeerUpdate> all = hosts(4);
    all[1].state = PeerState::Leaving;
    all[2].state = PeerState::Lost;
    CHECK(streamHomes(stream("a"), all, StreamHomes).size() == 2);
    CHECK(streamHomes(stream("a"), {}, StreamHomes).empty());
}

TEST_CASE("PoolVersions.OneVersionForAsLongAsStreamsAreResumed")
{
    const PoolVersions pools = listedFor(seconds(20), {V1});
    CHECK(pools.history(Pool, Start + seconds(20)).kind == Kind::OneVersion);
    CHECK(pools.history(Pool, Start + seconds(20)).version == V1);
    CHECK(pools.history(units::PoolName("q"), Start).kind == Kind::Unknown);
}

// Guards against a host that has just started, or can't read the store, and sees one version only.
TEST_CASE("PoolVersions.ShortOrOldListsShowNothing")
{
    CHECK(listedFor(seconds(19), {V1}).history(Pool, Start + seconds(19)).kind == Kind::Unknown);
    PoolVersions pools = listedFor(seconds(30), {V1});
    CHECK(pools.history(Pool, Start + seconds(34)).kind == Kind::Unknown);
    pools.onListed(Pool, {V1}, Start + seconds(40));
    CHECK(pools.history(Pool, Start + seconds(40)).kind == Kind::Unknown);
}

// Guards against forgetting a version while its streams may still be resumed.
TEST_CASE("PoolVersions.VersionThatLeftCountsUntilItsStreamsAreOver")
{
    PoolVersions pools = listedFor(seconds(30), {V1, V2});
    for (int second = 31; second <= 51; ++second) {
        pools.onListed(Pool, {V1}, Start + seconds(second));
        const Kind kind = pools.history(Pool, Start + seconds(second)).kind;
        CHECK(kind == (second <= 50 ? Kind::SeveralVersions : Kind::OneVersion));
    }
}

// Guards against ignoring a new version because others may be missing from the list.
TEST_CASE("PoolVersions.VersionSeenInAnOldListCounts")
{
    PoolVersions pools = listedFor(seconds(30), {V1});
    pools.onSeen(Pool, {V2}, Start + seconds(31));
    CHECK(pools.history(Pool, Start + seconds(31)).kind == Kind::SeveralVersions);
    CHECK(pools.hasSeveralVersions(Start + seconds(31)));
}

// Guards against forgetting a version while routes allow its streams to go on.
TEST_CASE("PoolVersions.LongStreamsKeepAVersionLonger")
{
    PoolVersions pools;
    pools.setStreamAge(seconds(40));
    pools.onListed(Pool, {V1, V2}, Start);
    for (int second = 1; second <= 41; ++second) {
        pools.onListed(Pool, {V1}, Start + seconds(second));
        const Kind kind = pools.history(Pool, Start + seconds(second)).kind;
        CHECK(kind == (second <= 40 ? Kind::SeveralVersions : Kind::OneVersion));
    }
}

TEST_CASE("StreamVersionReport.KnownVersionIsUsed")
{
    const StreamVersionReport unknown{{}, {Kind::SeveralVersions, {}}};
    const StreamVersionReport known{V1, {Kind::SeveralVersions, {}}};
    CHECK(versionToResumeAt({unknown, known, unknown}) == V1);
    CHECK_FALSE(versionToResumeAt({known, {V2, {}}}));
}

// Guards against resuming a stream by what hosts have listed: one may be out of step with the rest.
TEST_CASE("StreamVersionReport.UnknownStreamNeedsTheStore")
{
    CHECK_FALSE(versionToResumeAt({{{}, {Kind::OneVersion, V1}}, {{}, {Kind::OneVersion, V1}}}));
}

// Guards against resuming a stream anywhere because no host knows where it began.
TEST_CASE("StreamVersionReport.UnknownStreamNeedsAPoolOfOneVersion")
{
    const StoredStreamVersion onlyV1{{}, {V1}};
    const StreamVersionReport none{{}, {}};
    const StreamVersionReport v1{{}, {Kind::OneVersion, V1}};
    const StreamVersionReport v2{{}, {Kind::OneVersion, V2}};
    const StreamVersionReport newV2{{}, {Kind::Unknown, V2}};
    const StreamVersionReport several{{}, {Kind::SeveralVersions, {}}};
    CHECK(versionToResumeAt({none}, onlyV1) == V1);
    CHECK(versionToResumeAt({none, v1, v1}, onlyV1) == V1);
    CHECK_FALSE(versionToResumeAt({v1, several}, onlyV1));
    CHECK_FALSE(versionToResumeAt({v1, v2}, onlyV1));
    CHECK_FALSE(versionToResumeAt({v1, newV2}, onlyV1));
    CHECK_FALSE(versionToResumeAt({v1}, {{}, {V1, V2}}));
    CHECK_FALSE(versionToResumeAt({v1}, {{}, {}}));
}

TEST_CASE("StreamVersionReport.VersionInTheStoreIsUsedIfNoHostKnowsTheStream")
{
    const StreamVersionReport several{{}, {Kind::SeveralVersions, {}}};
    CHECK(versionToResumeAt({several}, {V2, {V1, V2}}) == V2);
    CHECK(versionToResumeAt({several, {V1, {}}}, {V2, {V1, V2}}) == V1);
    CHECK_FALSE(versionToResumeAt({{V2, {}}, {V1, {}}}, {V2, {V1, V2}}));
}
