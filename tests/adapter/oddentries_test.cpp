#include "oddentries.h"
#include "relayfixture.h"

#include <doctest/doctest.h>

using namespace monsoongrade;
using namespace monsoongrade::platform;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const std::string Address = "127.0.0.1:9";

std::vector<OddSpec> oddWorkers()
{
    std::vector<OddSpec> specs = unparsableSpecs();
    for (OddSpec &spec : unusableWorkers(Address))
        specs.push_back(std::move(spec));
    return specs;
}

std::string nameOf(std::size_t number)
{
    return "w" + std::to_string(number);
}

// A gateway with the sound endpoints "a" and "z" and one for each odd spec in between.
struct OddEntriesFixture : GatewayFixture
{
    explicit OddEntriesFixture(std::vector<OddSpec> odd)
        : specs(std::move(odd))
    {
        store.put("config", "main", operatorConfiguration());
        announce("a", "plain", Address);
        announce("z", "plain", Address);
    }
    void putSound()
    {
        for (std::size_t i = 0; i < specs.size(); ++i)
            announce(nameOf(i), "plain", Address);
    }
    void putOdd()
    {
        for (std::size_t i = 0; i < specs.size(); ++i)
            store.putRaw("servers", nameOf(i), specs[i].text);
    }
    bool isAvailable(const std::string &id)
    {
        return gateway->state().registry.findAvailable(units::EndpointId(id)) != nullptr;
    }
    // Waits until the sound endpoints are available, and the odd ones are or are not.
    bool awaitAvailable(bool areOddAvailable, milliseconds limit = seconds(2))
    {
        return runUntil([&] { return missing(areOddAvailable).empty(); }, limit);
    }
    // What keeps awaitAvailable() from returning.
    std::string missing(bool areOddAvailable)
    {
        std::string names;
        for (const std::string id : {"a", "z"})
            names += isAvailable(id) ? "" : id + "; ";
        for (std::size_t i = 0; i < specs.size(); ++i)
            names += isAvailable(nameOf(i)) == areOddAvailable ? "" : specs[i].what + "; ";
        return names;
    }

    std::vector<OddSpec> specs;
};

} // namespace

// Guards against a host that ends, follows no list or uses an odd entry after it has listed one.
TEST_CASE("OddEntries.ListedOnesNameNoWorkerAndHideNoOther")
{
    OddEntriesFixture fixture(oddWorkers());
    fixture.putOdd();
    fixture.start();
    const bool isAsExpected = fixture.awaitAvailable(false);
    CAPTURE(fixture.missing(false));
    CHECK(isAsExpected);
    CHECK(fixture.gateway->state().registry.size() == 2);
}

// Guards against a host that follows no changes, or keeps an endpoint whose entry has become odd.
TEST_CASE("OddEntries.ChangesToOneRemoveItsWorkerAndHideNoOther")
{
    OddEntriesFixture fixture(oddWorkers());
    fixture.putSound();
    fixture.start();
    REQUIRE(fixture.awaitAvailable(true));
    fixture.store.remove("servers", "z");
    fixture.putOdd();
    fixture.announce("z", "plain", Address);
    const bool isAsExpected = fixture.awaitAvailable(false);
    CAPTURE(fixture.missing(false));
    CHECK(isAsExpected);
    fixture.putSound();
    CHECK(fixture.awaitAvailable(true));
    CHECK(fixture.store.lists() <= 2);
}

// Guards against a body whose entries can't be told apart by brackets and quotes.
TEST_CASE("OddEntries.UnpairedQuotesAndBracketsHideNoOther")
{
    for (const OddSpec &spec : unpairedSpecs()) {
        CAPTURE(spec.what);
        OddEntriesFixture fixture({spec});
        fixture.putSound();
        fixture.start();
        REQUIRE(fixture.awaitAvailable(true));
        fixture.putOdd();
        fixture.announce("b", "plain", Address);
        CHECK(fixture.awaitAvailable(false));
        CHECK(fixture.runUntil([&] { return fixture.isAvailable("b"); }, seconds(2)));
        fixture.store.compact();
        fixture.announce("c", "plain", Address);
        CHECK(fixture.runUntil([&] { return fixture.isAvailable("c"); }, seconds(2)));
        CHECK(fixture.awaitAvailable(false));
    }
}

// Guards against an endpoint whose odd entry is listed after an outage and which is kept as if its
// entry had only expired.
TEST_CASE("OddEntries.ListedOneIsNotKeptAsAMissingOne")
{
    OddEntriesFixture fixture({{"slots", R"({"slots":1e400})"}, {"null", "null"}});
    fixture.putSound();
    fixture.start();
    REQUIRE(fixture.awaitAvailable(true));
    fixture.store.setBehavior(standins::StoreBehavior::Refusing);
    fixture.store.compact(); // ends the pending watches; the next calls are refused
    fixture.runFor(milliseconds(1500));
    fixture.putOdd();
    fixture.store.compact();
    fixture.store.setBehavior(standins::StoreBehavior::Normal);
    REQUIRE(fixture.runUntil([&] { return fixture.gateway->isServing(); }));
    CHECK(fixture.awaitAvailable(false, milliseconds(1000)));
}

// Guards against followers that miss changes, or use an odd entry, that their reader passes on.
TEST_CASE("OddEntries.RelayedOnesNameNoWorkerAndHideNoOther")
{
    std::vector<OddSpec> specs = oddWorkers();
    for (const OddSpec &spec : unpairedSpecs())
        specs.push_back(spec);
    RelayFixture fixture;
    fixture.announce("a", "plain", Address);
    for (std::size_t i = 0; i < specs.size(); ++i) {
        if (i % 2 == 0)
            fixture.announce(nameOf(i), "plain", Address);
        else
            fixture.store.putRaw("servers", nameOf(i), specs[i].text);
    }
    fixture.lease.renew(fixture.clock.now());
    fixture.reader.start();
    fixture.follower.start();
    const std::size_t sound = 1 + (specs.size() + 1) / 2;
    REQUIRE(fixture.runUntil([&] { return fixture.followerState.usable.size() == sound; }));
    for (std::size_t i = 0; i < specs.size(); i += 2)
        fixture.store.putRaw("servers", nameOf(i), specs[i].text);
    fixture.announce("z", "plain", Address);
    const std::set<std::string> expected{"a", "z"};
    CHECK(fixture.runUntil([&] { return fixture.followerState.usable == expected; }, seconds(2)));
    CHECK(fixture.followerSource.failures == 0);
}

// Guards against a list that does not go on past a name that must be encoded to be sent.
TEST_CASE("OddEntries.NameAtTheEndOfAPageIsSentEncoded")
{
    constexpr int PageSize = 500;
    for (const std::string name :
         {"m m", "m&after=a", "m#", "m%41", "m+", "m?", "m/..", "m\r\nX: y", "m\xc3\xa9", "m\""}) {
        CAPTURE(name);
        RelayFixture fixture;
        for (int i = 1; i < PageSize; ++i)
            fixture.announce("a" + std::to_string(i), "plain", Address);
        fixture.announce(name, "plain", Address);
        fixture.announce("z", "plain", Address);
        fixture.followerSource.readFromStore();
        fixture.follower.start();
        CHECK(fixture.runUntil([&] { return fixture.followerState.names.size() == PageSize + 1; },
                               seconds(1)));
    }
}

// Guards against a list with another frame that passes for a whole one or for an empty store.
TEST_CASE("OddEntries.ListWithAnotherFrameCountsAsNoAnswer")
{
    const std::string items = R"("items":[{"metadata":{"name":"b","revision":3},"spec":{}}])";
    for (const std::string &body :
         {"{" + items + R"(,"more":"yes","as_of":9})", "{" + items + R"(,"more":false})",
          "{" + items + R"(,"more":null,"as_of":9})", "{" + items + R"(,"more":false,"as_of":"9"})",
          "{" + items + R"(,"more":false,"as_of":-1})", "{" + items + R"(,"more":false,"as_of":0})",
          "{" + items + R"(,"more":false,"as_of":1.5})", "{" + items + R"(,"more":1,"as_of":9})",
          std::string(R"({"items":{},"more":false,"as_of":9})"),
          std::string(R"({"items":7,"more":false,"as_of":9})"),
          std::string(R"({"items":"x","more":false,"as_of":9})"), std::string("[]"),
          std::string("7"), std::string("null"), nested(100000, "[", "]"),
          R"({"as_of":)" + nested(100000, "[", "]") + ",\"more\":false," + items + "}"}) {
        CAPTURE(body.substr(0, 120));
        RelayFixture fixture;
        fixture.announce("a", "plain", Address);
        fixture.store.overrideBody("servers", body);
        fixture.followerSource.readFromStore();
        fixture.follower.start();
        REQUIRE(fixture.runUntil([&] { return fixture.followerSource.failures > 0; }, seconds(1)));
        CHECK(fixture.followerState.lists == 0);
        fixture.store.overrideBody("servers", "");
        CHECK(fixture.runUntil([&] { return fixture.followerState.usable.count("a") == 1; }));
    }
}

// Guards against a host that reads the same page for ever, or takes what it has for the whole list.
TEST_CASE("OddEntries.PageWithoutNamesCountsAsNoAnswer")
{
    RelayFixture fixture;
    fixture.store.overrideBody("servers",
                               R"({"items":[null,{"metadata":7}],"more":true,"as_of":9})");
    fixture.followerSource.readFromStore();
    fixture.follower.start();
    REQUIRE(fixture.runUntil([&] { return fixture.followerSource.failures > 0; }, seconds(1)));
    CHECK(fixture.followerState.lists == 0);
    fixture.store.overrideBody(
        "servers",
        R"({"items":[{"metadata":{"name":"a","revision":3},"spec":{}}],"more":true,"as_of":9})");
    const int failures = fixture.followerSource.failures;
    CHECK(fixture.runUntil([&] { return fixture.followerSource.failures > failures; }, seconds(1)));
    CHECK(fixture.followerState.lists == 0);
}
