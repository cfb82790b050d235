#include "versionedengines.h"

using namespace monsoongrade;
using namespace monsoongrade::platform;

namespace {

constexpr int Streams = 6;
// In which a host learns that a pool has had one version for as long as streams are resumed.
constexpr auto TimeToKnowPool = std::chrono::seconds(25);

// In which the hosts write to the store what must outlast them.
constexpr auto TimeToSave = std::chrono::milliseconds(1500);
// Shorter than a list counts as current.
constexpr auto StandstillTime = std::chrono::milliseconds(1700);

bool holds(const RawClient &client, const std::string &version)
{
    return client.received().find("data: " + version + "\n") != std::string::npos;
}

// Whether the client got the rest of its stream, of this version.
bool goesOn(const RawClient &client, const std::string &version)
{
    return client.status() == 200 && client.isComplete() && holds(client, version);
}

bool isRefused(const RawClient &client)
{
    return client.status() == 503 && !standins::headerIn(client.received(), "Retry-After").empty();
}

const std::vector<std::string> Versions{"v1", "v1", "v2", "v2", "v2", "v2"};

// Begins streams at version v1 of the first host that break off. Returns their requests.
std::vector<std::string> beginStreams(VersionedEnginesFixture &fixture)
{
    std::vector<std::string> began;
    began.reserve(Streams);
    for (int i = 0; i < Streams; ++i)
        began.push_back(fixture.beginAndBreak(fixture.firstHost(), "v1"));
    fixture.occupy("v1");
    return began;
}

} // namespace

// Guards against a stream that goes on at an engine of another software version after a crash.
TEST_CASE("StreamVersions.ResponseNeverHoldsEventsOfTwoVersions")
{
    VersionedEnginesFixture fixture({"v1", "v1", "v2", "v2", "v2"});
    int mixed = 0;
    for (int i = 0; i < 4 * Streams; ++i) {
        fixture.crashNext();
        const auto client = fixture.call(fixture.firstHost(), "/resume/a", "m" + std::to_string(i));
        mixed += holds(*client, "v1") && holds(*client, "v2") ? 1 : 0;
    }
    CHECK(mixed == 0);
}

// Guards against breaking off a stream that another engine of its version could continue.
TEST_CASE("StreamVersions.ResponseGoesOnAtAnotherEngineOfItsVersion")
{
    VersionedEnginesFixture fixture({"v1", "v1", "v2", "v2"});
    for (int i = 0; i < 2; ++i) { // an engine that breaks more often is suspended
        fixture.crashNext();
        const auto client = fixture.call(fixture.firstHost(), "/resume/a", "m" + std::to_string(i));
        CHECK(client->isComplete());
    }
}

// Guards against a response that is continued at another version as there is no engine of its own.
TEST_CASE("StreamVersions.ResponseBreaksOffWhenNoOtherEngineOfItsVersionServes")
{
    VersionedEnginesFixture fixture({"v1", "v2"});
    fixture.crashNext();
    CHECK_FALSE(fixture.call(fixture.firstHost(), "/resume/a", "m")->isComplete());
}

// Guards against a client that is sent on to another software version when it resumes its stream.
TEST_CASE("StreamVersions.ClientResumesAtTheVersionThatBegan")
{
    VersionedEnginesFixture fixture(Versions);
    for (const std::string &began : beginStreams(fixture))
        CHECK(goesOn(*fixture.resume(fixture.firstHost(), began), "v1"));
}

// Guards against a host that does not know at which version a stream began at another host.
TEST_CASE("StreamVersions.ClientResumesAtAnotherHost")
{
    VersionedEnginesFixture fixture(Versions);
    for (const std::string &began : beginStreams(fixture))
        CHECK(goesOn(*fixture.resume(fixture.secondHost(), began), "v1"));
}

// Guards against losing the version of a stream together with the host that began it.
TEST_CASE("StreamVersions.ClientResumesAfterTheLossOfTheHost")
{
    VersionedEnginesFixture fixture(Versions);
    const std::vector<std::string> streams = beginStreams(fixture);
    fixture.stopFirstHost();
    for (const std::string &began : streams)
        CHECK(goesOn(*fixture.resume(fixture.secondHost(), began), "v1"));
}

// Guards against a stream that changes its version when its client resumes it once more.
TEST_CASE("StreamVersions.SecondResumptionStaysAtTheVersion")
{
    VersionedEnginesFixture fixture(Versions);
    for (const std::string &began : beginStreams(fixture)) {
        CHECK(goesOn(*fixture.resume(fixture.secondHost(), began), "v1"));
        CHECK(goesOn(*fixture.resume(fixture.firstHost(), began), "v1"));
    }
}

// Guards against sending a stream to any version because that of its beginning is not known.
TEST_CASE("StreamVersions.UnknownStreamIsRefusedWhileTwoVersionsServe")
{
    VersionedEnginesFixture fixture({"v1", "v1", "v2", "v2"});
    CHECK(isRefused(*fixture.resume(fixture.firstHost(), "unknown")));
    CHECK(fixture.requests("v1") + fixture.requests("v2") == 0);
}

// Guards against refusing streams whose beginning no host remembers while all engines are alike.
TEST_CASE("StreamVersions.UnknownStreamGoesOnWhileOneVersionServes")
{
    VersionedEnginesFixture fixture({"v1", "v1"});
    fixture.pass(TimeToKnowPool);
    CHECK(goesOn(*fixture.resume(fixture.firstHost(), "unknown"), "v1"));
}

// Guards against a stream of a version that has just left, which the remaining ones would continue.
TEST_CASE("StreamVersions.UnknownStreamIsRefusedShortlyAfterAVersionLeft")
{
    VersionedEnginesFixture fixture({"v1", "v2"});
    fixture.pass(TimeToKnowPool);
    fixture.unlist("v2");
    CHECK(isRefused(*fixture.resume(fixture.firstHost(), "unknown")));
    CHECK(fixture.requests("v1") == 0);
}

// Guards against a stream that goes on elsewhere because no engine of its version is left.
TEST_CASE("StreamVersions.ResumptionIsRefusedWhenItsVersionIsGone")
{
    VersionedEnginesFixture fixture({"v1", "v2", "v2"});
    const std::string began = fixture.beginAndBreak(fixture.firstHost(), "v1");
    fixture.unlist("v1");
    const int before = fixture.requests("v2");
    CHECK(isRefused(*fixture.resume(fixture.firstHost(), began)));
    CHECK(fixture.requests("v2") == before);
}

// Guards against refusing all streams of a pool of one version after the loss of all hosts.
TEST_CASE("StreamVersions.StreamsOfTheOnlyVersionGoOnAfterTheLossOfAllHosts")
{
    VersionedEnginesFixture fixture({"v1", "v1"});
    const std::string began = fixture.beginAndBreak(fixture.firstHost(), "v1");
    fixture.runFor(TimeToSave);
    fixture.restartHosts();
    CHECK(goesOn(*fixture.resume(fixture.firstHost(), began), "v1"));
    CHECK(goesOn(*fixture.resume(fixture.secondHost(), began), "v1"));
}

// Guards against losing the versions of streams together with all hosts during a release.
TEST_CASE("StreamVersions.StreamsGoOnAtTheirVersionsAfterTheLossOfAllHosts")
{
    VersionedEnginesFixture fixture({"v1", "v1", "v2", "v2"});
    const std::string first = fixture.beginAndBreak(fixture.firstHost(), "v1");
    const std::string second = fixture.beginAndBreak(fixture.secondHost(), "v2");
    fixture.runFor(TimeToSave);
    fixture.restartHosts();
    CHECK(goesOn(*fixture.resume(fixture.firstHost(), first), "v1"));
    CHECK(goesOn(*fixture.resume(fixture.firstHost(), second), "v2"));
    CHECK(goesOn(*fixture.resume(fixture.secondHost(), first), "v1"));
    CHECK(goesOn(*fixture.resume(fixture.secondHost(), second), "v2"));
    CHECK(isRefused(*fixture.resume(fixture.firstHost(), "unknown")));
}

// Guards against hosts that have just started and take the version that is left for the only one.
TEST_CASE("StreamVersions.StreamsOfAVersionThatLeftDoNotGoOnAfterTheLossOfAllHosts")
{
    VersionedEnginesFixture fixture({"v1", "v2"});
    const std::string began = fixture.beginAndBreak(fixture.firstHost(), "v1");
    fixture.runFor(TimeToSave);
    fixture.unlist("v1");
    fixture.restartHosts();
    CHECK(isRefused(*fixture.resume(fixture.firstHost(), began)));
    CHECK(isRefused(*fixture.resume(fixture.firstHost(), "unknown")));
    CHECK(fixture.requests("v2") == 0);
}

// Guards against a host without contact that takes its last list for the versions of the pool.
TEST_CASE("StreamVersions.HostWithoutContactDoesNotResumeByItsLastList")
{
    VersionedEnginesFixture fixture({"v1"}, VersionedEnginesFixture::Datagrams::AreLost);
    fixture.pass(TimeToKnowPool);
    fixture.cutFirstHostFromStore();
    fixture.addEngine("v2");
    const std::string began = fixture.beginAndBreak(fixture.secondHost(), "v2");
    CHECK(isRefused(*fixture.resume(fixture.firstHost(), began)));
    CHECK(fixture.requests("v1") == 0);
}

// Guards against a host that stood still and uses its list before it has read the latest one.
TEST_CASE("StreamVersions.HostThatStoodStillDoesNotResumeByItsLastList")
{
    VersionedEnginesFixture fixture({"v1"}, VersionedEnginesFixture::Datagrams::AreLost);
    fixture.pass(TimeToKnowPool);
    fixture.stopFirstHost();
    fixture.cutFirstHostFromStore(); // its responses are late
    fixture.addEngine("v2");
    const std::string began = fixture.beginAndBreak(fixture.secondHost(), "v2");
    const auto client = fixture.sendResumption(fixture.firstHost(), began);
    fixture.runFor(StandstillTime);
    fixture.reconnectFirstHostToStore();
    fixture.continueFirstHost();
    fixture.awaitEnd(*client);
    CHECK_FALSE(holds(*client, "v1"));
    CHECK(fixture.requests("v1") == 0);
}

// Guards against writes to the store for each stream, which are dear.
TEST_CASE("StreamVersions.StreamsAreSavedOnlyWhileSeveralVersionsServe")
{
    VersionedEnginesFixture fixture({"v1", "v1"});
    fixture.beginAndBreak(fixture.firstHost(), "v1");
    fixture.runFor(TimeToSave);
    CHECK(fixture.listObjects("stream-versions").find("\"items\":[]") != std::string::npos);
    CHECK(fixture.listObjects("pool-versions").find("\"versions\":[\"v1\"]") != std::string::npos);
    fixture.addEngine("v2");
    fixture.runFor(TimeToSave);
    // The stream of the first version is saved too.
    CHECK(fixture.listObjects("stream-versions").find("\"v1\":[") != std::string::npos);
    CHECK(fixture.listObjects("pool-versions").find("\"versions\":[\"v1\",\"v2\"]")
          != std::string::npos);
}

// Guards against resuming an unknown stream without proof while the store does not respond.
TEST_CASE("StreamVersions.UnknownStreamIsRefusedWhileTheStoreIsSilent")
{
    VersionedEnginesFixture fixture({"v1", "v1"});
    const std::string began = fixture.beginAndBreak(fixture.secondHost(), "v1");
    fixture.runFor(TimeToSave);
    CHECK(goesOn(*fixture.resume(fixture.firstHost(), "unknown"), "v1"));
    fixture.cutFirstHostFromStore();
    CHECK(isRefused(*fixture.resume(fixture.firstHost(), "unknown")));
    CHECK(goesOn(*fixture.resume(fixture.firstHost(), began), "v1"));
    fixture.reconnectFirstHostToStore();
    CHECK(goesOn(*fixture.resume(fixture.firstHost(), "unknown"), "v1"));
}
