#include <configuration/fakestore.h>

#include <monsoongrade/configuration/configurationupdater.h>

#include <doctest/doctest.h>

namespace monsoongrade::configuration {

using units::ResultCode;

namespace {

struct OnePeer : ConfigurationPeers
{
    bool isWatcher() override { return true; }
    bool hasNewer() override { return true; }
    units::Result<ManifestContents> fetch(units::Generation above, const TextByHash &known) override
    {
        askedAbove = above;
        ManifestContents out = answer;
        for (const auto &entry : known)
            out.texts.erase(entry.first);
        return out;
    }
    void inForce(units::Generation generation) override { told = generation; }

    ManifestContents answer;
    units::Generation askedAbove;
    units::Generation told;
};

struct Daemon
{
    FakeStore store;
    OnePeer peer;
    ConfigurationContents contents;
    ConfigurationHolder holder;
    ConfigurationUpdater updater{store, peer, contents, holder};

    units::Outcome<bool> askPeer()
    {
        return units::capture([this] { return updater.askPeer(); });
    }
    units::Outcome<bool> readStore()
    {
        return units::capture([this] { return updater.readStore(); });
    }
};

ManifestContents whole(std::uint64_t generation, const std::string &text)
{
    ManifestContents contents;
    contents.manifest.generation = units::Generation(generation);
    contents.manifest.contentHashByFile["a.yaml"] = contentHash(text);
    contents.texts[contentHash(text)] = text;
    return contents;
}

const std::string Valid = "classes:\n  - name: first\n";
const std::string Other = "classes:\n  - name: second\n";
const std::string Invalid = "classes:\n  - nmae: first\n";

} // namespace

TEST_CASE("ConfigurationUpdater.RestartedInAnOutageTakesAPeersConfiguration")
{
    // A host that was replaced while the platform is down would refuse all callers.
    Daemon daemon;
    daemon.store.outageCalls = 1000;
    daemon.peer.answer = whole(7, Valid);
    CHECK_FALSE(daemon.readStore().value);
    REQUIRE(daemon.askPeer().value);
    REQUIRE(daemon.holder.current());
    CHECK(daemon.holder.current()->generation == units::Generation(7));
    CHECK(daemon.peer.told == units::Generation(7));
}

TEST_CASE("ConfigurationUpdater.NeverGoesToALowerGeneration")
{
    // An accepted change would be taken back: a peer lags, and the store answers with a stale
    // read.
    Daemon daemon;
    daemon.peer.answer = whole(7, Valid);
    REQUIRE(daemon.askPeer().value);
    for (const std::uint64_t older : {1, 6, 7}) {
        daemon.peer.answer = whole(older, Other);
        CHECK_FALSE(*daemon.askPeer().value);
    }
    REQUIRE(units::capture([&] {
                return ConfigurationStore(daemon.store).apply({{"a.yaml", Other}}, "1");
            }).value);
    CHECK_FALSE(*daemon.readStore().value);
    CHECK(daemon.contents.current()->manifest.generation == units::Generation(7));
    CHECK(daemon.holder.current()->classes.count(units::ClassName("first")) == 1);
}

TEST_CASE("ConfigurationUpdater.InvalidWholeIsNotPutIntoForce")
{
    // A manifest written around the check would stop every daemon at once: it is passed over
    // once and for all, what is in force serves on, and the next generation is taken.
    Daemon daemon;
    daemon.peer.answer = whole(1, Valid);
    REQUIRE(daemon.askPeer().value);
    daemon.peer.answer = whole(2, Invalid);
    CHECK_FALSE(*daemon.askPeer().value);
    CHECK(daemon.holder.current()->generation == units::Generation(1));
    CHECK(daemon.contents.current()->manifest.generation == units::Generation(1));
    CHECK(daemon.updater.known() == units::Generation(2));
    daemon.peer.answer = whole(3, Other);
    CHECK(*daemon.askPeer().value);
    CHECK(daemon.holder.current()->generation == units::Generation(3));
}

TEST_CASE("ConfigurationUpdater.HarmedOrIncompleteTextsAreRefused")
{
    Daemon daemon;
    daemon.peer.answer = whole(1, Valid);
    daemon.peer.answer.texts.begin()->second = Other;
    CHECK(daemon.askPeer().error.code == ResultCode::PlatformAnswerMalformed);
    daemon.peer.answer.texts.clear();
    CHECK(daemon.askPeer().error.code == ResultCode::PeerMessageMalformed);
    CHECK_FALSE(daemon.holder.current());
}

TEST_CASE("ConfigurationUpdater.FetchesOnlyWhatChanged")
{
    // Each call counts at the store, and there are hundreds of daemons and changes.
    Daemon daemon;
    ConfigurationStore store(daemon.store);
    std::vector<SourceFile> files;
    files.reserve(20);
    for (int i = 0; i < 20; ++i)
        files.push_back(
            {std::to_string(i) + ".yaml", "classes:\n  - name: c" + std::to_string(i) + "\n"});
    REQUIRE(units::capture([&] { return store.apply(files, "1"); }).value);
    REQUIRE(daemon.readStore().value);
    REQUIRE(units::capture([&] { return store.apply({{"3.yaml", Valid}}, "2"); }).value);
    const int before = daemon.store.calls;
    REQUIRE(*daemon.readStore().value);
    CHECK_MESSAGE(daemon.store.calls - before == 2, "expected 2 calls, actual ",
                  daemon.store.calls - before);
}

} // namespace monsoongrade::configuration
