#include <configuration/fakestore.h>

#include <monsoongrade/configuration/configurationstore.h>

#include <doctest/doctest.h>

namespace monsoongrade::configuration {

using units::ResultCode;

namespace {

const auto NoPause = [](units::Duration) {
};

SourceFile file(const std::string &owner, const std::string &className)
{
    return {owner + ".yaml", "classes:\n  - name: " + className + "\n"};
}

units::Outcome<ConfigurationStore::Applied> apply(FakeStore &store, const SourceFile &changed,
                                                  const std::string &changeId)
{
    return units::capture(
        [&] { return ConfigurationStore(store, NoPause).apply({changed}, changeId); });
}

std::map<std::string, std::string> inForce(FakeStore &store)
{
    return units::capture([&] { return ConfigurationStore(store).manifest(); })
        .value->contentHashByFile;
}

} // namespace

TEST_CASE("ConfigurationStore.RacingOwnersBothGetIntoForce")
{
    // A club's accepted change would be lost: two clubs apply at once, and the second one's
    // update comes between the first one's read and its write.
    FakeStore store;
    REQUIRE(apply(store, file("a", "first"), "0").value);
    store.beforeUpdate = [&] {
        REQUIRE(apply(store, file("b", "second"), "1").value);
    };
    const auto applied = apply(store, file("c", "third"), "2");
    REQUIRE(applied.value);
    CHECK(applied.value->generation == units::Generation(3));
    CHECK(inForce(store).size() == 3);
}

TEST_CASE("ConfigurationStore.SecondAtTheSameFileIsTold")
{
    // The earlier of two people would be told "accepted" and find it gone: both change the same
    // file, the later one without having seen the other's text.
    FakeStore store;
    REQUIRE(apply(store, file("a", "first"), "0").value);
    store.beforeUpdate = [&] {
        REQUIRE(apply(store, file("a", "theirs"), "1").value);
    };
    const auto applied = apply(store, file("a", "mine"), "2");
    CHECK(applied.error.code == ResultCode::VersionConflict);
    CHECK(inForce(store).at("a.yaml") == contentHash(file("a", "theirs").text));
}

TEST_CASE("ConfigurationStore.RaceThatMakesTheWholeInvalidIsNotAccepted")
{
    // Two valid changes can be invalid together; in force they would stop every daemon.
    FakeStore store;
    REQUIRE(apply(store, file("a", "first"), "0").value);
    store.beforeUpdate = [&] {
        REQUIRE(apply(store, file("b", "same"), "1").value);
    };
    const auto applied = apply(store, file("c", "same"), "2");
    REQUIRE(applied.value);
    REQUIRE(applied.value->problems.size() == 1);
    CHECK(applied.value->problems[0].code == ResultCode::DuplicateName);
    CHECK(inForce(store).size() == 2);
}

TEST_CASE("ConfigurationStore.LostReplyIsFoundBehindAnothersChange")
{
    // Somebody would be told "refused" of a change that is in force: the update takes effect,
    // its reply is lost, and another change follows before the read back.
    FakeStore store;
    REQUIRE(apply(store, file("a", "first"), "0").value);
    ConfigurationStore mine(store, [&](units::Duration) {
        store.lostReplies = 0;
        if (inForce(store).count("c.yaml") == 0)
            REQUIRE(apply(store, file("c", "third"), "2").value);
    });
    store.beforeUpdate = [&] {
        store.lostReplies = 1;
    };
    const auto applied = units::capture([&] { return mine.apply({file("b", "second")}, "1"); });
    REQUIRE_MESSAGE(applied.value, applied.error.message);
    CHECK(applied.value->generation == units::Generation(2));
    CHECK(inForce(store).size() == 3);
}

TEST_CASE("ConfigurationStore.OutageAfterALostReplyIsSaidToBeUnknown")
{
    // "Nothing was changed" would be wrong, and so would "accepted".
    FakeStore store;
    REQUIRE(apply(store, file("a", "first"), "0").value);
    store.beforeUpdate = [&] {
        store.lostReplies = 1;
        store.outageAfter = 1;
        store.outageCalls = 1000;
    };
    CHECK(apply(store, file("b", "second"), "1").error.code == ResultCode::OutcomeUnknown);
    store.outageCalls = 0;
    const auto again = apply(store, file("b", "second"), "1");
    REQUIRE(again.value);
    CHECK(again.value->generation == units::Generation(2));
}

TEST_CASE("ConfigurationStore.OutageBeforeTheWriteChangesNothing")
{
    FakeStore store;
    REQUIRE(apply(store, file("a", "first"), "0").value);
    store.outageCalls = 1000;
    CHECK(apply(store, file("b", "second"), "1").error.code == ResultCode::PlatformUnavailable);
    store.outageCalls = 0;
    CHECK(inForce(store).size() == 1);
}

TEST_CASE("ConfigurationStore.RemoveTakesOnlyTheNamedFile")
{
    FakeStore store;
    REQUIRE(apply(store, file("a", "first"), "0").value);
    REQUIRE(apply(store, file("b", "second"), "1").value);
    const auto removed = units::capture(
        [&] { return ConfigurationStore(store, NoPause).remove({"a.yaml"}, "2"); });
    REQUIRE(removed.value);
    CHECK(inForce(store).size() == 1);
    CHECK(inForce(store).count("b.yaml") == 1);
}

TEST_CASE("Manifest.RefusesWhatIsNoManifest")
{
    for (const char *text : {"", "{", "[]", "{\"generation\":\"x\",\"files\":{},\"changes\":[]}",
                             "{\"generation\":1,\"files\":[1],\"changes\":[]}",
                             "{\"generation\":1,\"files\":{},\"changes\":[7]}", "\xff\xfe"}) {
        const auto decoded = units::capture([&] { return decodeManifest(text); });
        CHECK_MESSAGE(decoded.error.code == ResultCode::PlatformAnswerMalformed, text);
    }
}

} // namespace monsoongrade::configuration
