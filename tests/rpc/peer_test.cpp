#include <rpc/internal/peermessages.h>
#include <rpc/peerfixture.h>

#include <capnp/message.h>
#include <doctest/doctest.h>

#include <future>

namespace monsoongrade::rpc {

using units::ResultCode;

namespace {

configuration::ManifestContents whole(std::uint64_t generation)
{
    configuration::ManifestContents contents;
    contents.manifest.generation = units::Generation(generation);
    for (const std::string text : {"one", "two"}) {
        const std::string hash = configuration::contentHash(text);
        contents.manifest.contentHashByFile[text + ".yaml"] = hash;
        contents.texts[hash] = text;
    }
    return contents;
}

} // namespace

TEST_CASE("Peer.GivesItsConfigurationButNotTheTextsThatAreKnown")
{
    Daemon asked("127.33.201.1", "cluster");
    Daemon asking("127.33.201.2", "cluster");
    asked.contents.put(whole(4));
    const auto fetched
        = asking.fetchFrom("127.33.201.1", 3, {{configuration::contentHash("one"), "one"}});
    REQUIRE_MESSAGE(fetched.value, fetched.error.message);
    CHECK(fetched.value->manifest.generation == units::Generation(4));
    CHECK(fetched.value->manifest.contentHashByFile.size() == 2);
    CHECK(fetched.value->texts.size() == 1);
    CHECK(fetched.value->texts.count(configuration::contentHash("two")) == 1);
    const auto nothingNewer = asking.fetchFrom("127.33.201.1", 4, {});
    REQUIRE(nothingNewer.value);
    CHECK(nothingNewer.value->manifest.generation == units::Generation(0));
}

TEST_CASE("Peer.UnreachableOrForeignDaemonIsANumberedError")
{
    // The other daemon is gone, or belongs to another cluster that was given its address.
    Daemon asking("127.33.202.1", "cluster");
    CHECK(asking.fetchFrom("127.33.202.9", 0, {}).error.code == ResultCode::NoConfiguration);
    Daemon foreign("127.33.202.2", "other");
    foreign.contents.put(whole(4));
    CHECK(asking.fetchFrom("127.33.202.2", 0, {}).error.code == ResultCode::NoConfiguration);
}

TEST_CASE("Peer.DaemonsFindEachOtherFromOneSeed")
{
    Daemon first("127.33.203.1", "cluster");
    Daemon second("127.33.203.2", "cluster");
    std::promise<void> found;
    std::atomic<bool> done{false};
    first.fleet.addListener([&](const membership::FleetHolder::Snapshot &view) {
        if (view->entryHosts.size() == 2 && !done.exchange(true))
            found.set_value();
    });
    second.membership.addSeed(recordOf("127.33.203.1"));
    CHECK(found.get_future().wait_for(std::chrono::seconds(20)) == std::future_status::ready);
}

TEST_CASE("PeerMessages.ComeBackAsTheyWere")
{
    membership::PeerMessage message;
    message.kind = membership::PeerMessageKind::SyncRequest;
    message.from = recordOf("127.33.204.1");
    message.sequence = 7;
    message.generation = units::Generation(8);
    message.digest = 9;
    message.bucketDigests = {1, 2, 3};
    message.buckets = 5;
    message.members = {recordOf("127.33.204.2")};
    message.members[0].health = membership::Health::Suspected;
    message.members[0].leaving = true;
    message.endpoints = {{units::HostName("w"), 3, membership::EndpointState::Leaving}};
    capnp::MallocMessageBuilder builder;
    internal::write(builder.initRoot<schema::PeerNews>(), message);
    const auto news = builder.getRoot<schema::PeerNews>().asReader();
    const auto read = units::capture([&] { return internal::read(news); });
    REQUIRE(read.value);
    CHECK(read.value->kind == message.kind);
    CHECK(read.value->bucketDigests == message.bucketDigests);
    CHECK(read.value->buckets == 5);
    CHECK(read.value->members.at(0).id == message.members[0].id);
    CHECK(read.value->members[0].health == membership::Health::Suspected);
    CHECK(read.value->members[0].leaving);
    CHECK(read.value->endpoints.at(0).epoch == 3);
}

TEST_CASE("PeerMessages.OutOfRangeIsANumberedError")
{
    const auto codeWith = [](const std::function<void(schema::PeerNews::Builder)> &harm) {
        capnp::MallocMessageBuilder builder;
        auto news = builder.initRoot<schema::PeerNews>();
        membership::PeerMessage message;
        message.from = recordOf("127.33.205.1");
        internal::write(news, message);
        harm(news);
        return units::capture([&] { return internal::read(news.asReader()); }).error.code;
    };
    const auto malformed = ResultCode::PeerMessageMalformed;
    CHECK(codeWith([](auto news) { news.setKind(200); }) == malformed);
    CHECK(codeWith([](auto news) { news.getFrom().setRole(9); }) == malformed);
    CHECK(codeWith([](auto news) { news.getFrom().setHealth(9); }) == malformed);
    CHECK(codeWith([](auto news) { news.getFrom().setHost(""); }) == malformed);
    CHECK(codeWith([](auto news) { news.getFrom().setAddress(std::string(999, 'a')); })
          == malformed);
    CHECK(codeWith([](auto news) { news.initMembers(1); }) == malformed);
    CHECK(codeWith([](auto news) { news.initEndpoints(1)[0].setState(7); }) == malformed);
    CHECK(codeWith([](auto news) { news.initMembers(100000); }) == malformed);
}

} // namespace monsoongrade::rpc
