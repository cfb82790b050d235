#include "eventloop.h"
#include "gatewayfixture.h"
#include "oddentries.h"

#include <platform/dutyobjectstore.h>
#include <platform/quarantineobjectstore.h>
#include <platform/trafficdecoder.h>
#include <platform/versionobjectstore.h>

#include <doctest/doctest.h>

#include <mutation.h>
#include <rapidcheck.h>

#include <limits>

using namespace monsoongrade;
using namespace monsoongrade::platform;

namespace {

// The store and the clients that read the objects of this product's own kinds.
struct ObjectsFixture : EventLoop
{
    ObjectsFixture()
        : store(io, timers, 0)
        , client(io, timers, metrics)
        , quarantines(client, store.address())
        , duties(client, store.address())
        , versions(client, store.address())
    {
    }

    // Nothing if the list could not be read.
    std::optional<std::vector<routing::CrashUpdate>> readQuarantines()
    {
        std::optional<std::vector<routing::CrashUpdate>> result;
        bool isRead = false;
        quarantines.readAll([&](std::optional<std::vector<routing::CrashUpdate>> kept) {
            result = std::move(kept);
            isRead = true;
        });
        REQUIRE(runUntil([&] { return isRead; }));
        return result;
    }
    std::optional<routing::AllStoredPoolVersions> readPoolVersions()
    {
        std::optional<routing::AllStoredPoolVersions> result;
        bool isRead = false;
        versions.readAll([&](std::optional<routing::AllStoredPoolVersions> stored) {
            result = std::move(stored);
            isRead = true;
        });
        REQUIRE(runUntil([&] { return isRead; }));
        return result;
    }
    duties::LeaseCallResult readLease()
    {
        std::optional<duties::LeaseCallResult> result;
        duties.read([&](const duties::LeaseCallResult &lease) { result = lease; });
        REQUIRE(runUntil([&] { return result.has_value(); }));
        return *result;
    }

    observability::Metrics metrics;
    standins::StandInStore store;
    StoreClient client;
    QuarantineObjectStore quarantines;
    DutyObjectStore duties;
    VersionObjectStore versions;
};

std::vector<OddSpec> unparsable()
{
    std::vector<OddSpec> specs = unparsableSpecs();
    for (const OddSpec &spec : unpairedSpecs())
        specs.push_back(spec);
    for (const char *text : {"null", "7", "[]", "\"x\"", "{}"})
        specs.push_back({text, text});
    return specs;
}

const std::string SoundQuarantine
    = R"({"workspace":"w1","digest":"ab","crashes":[{"endpoint":"p1","incarnation":1,)"
      R"("part_position":0,"at_ms":1}]})";

std::string quarantineWith(const std::string &field, const std::string &value)
{
    nlohmann::json spec = nlohmann::json::parse(SoundQuarantine);
    spec["crashes"].push_back(spec["crashes"][0]);
    spec["crashes"][1][field] = "placeholder";
    std::string text = spec.dump();
    return text.replace(text.find("\"placeholder\""), 13, value);
}

} // namespace

// Guards against a host that reads no quarantines, or half of one, because of an odd entry.
TEST_CASE("OddObjects.QuarantinesHideNoOther")
{
    std::vector<OddSpec> specs = unparsable();
    for (const std::string field : {"incarnation", "part_position", "at_ms"}) {
        for (const std::string value : {"1e300", "-1e300", "\"1\"", "null", "1.5",
                                        "18446744073709551615", "18446744073709551616"})
            specs.push_back({field + " " + value, quarantineWith(field, value)});
    }
    specs.push_back({"at_ms low", quarantineWith("at_ms", "-9223372036854775808")});
    specs.push_back({"endpoint", quarantineWith("endpoint", "5")});
    specs.push_back({"crashes", R"({"workspace":"w1","digest":"ab","crashes":7})"});
    specs.push_back({"digest", R"({"workspace":"w1","digest":"xyz","crashes":[]})"});
    for (const OddSpec &spec : specs) {
        CAPTURE(spec.what);
        ObjectsFixture fixture;
        fixture.store.putRaw("quarantined-requests", "a", SoundQuarantine);
        fixture.store.putRaw("quarantined-requests", "odd", spec.text);
        fixture.store.putRaw("quarantined-requests", "z", SoundQuarantine);
        const auto kept = fixture.readQuarantines();
        REQUIRE(kept);
        CHECK(kept->size() == 2);
    }
}

// Guards against a process that ends as a list of quarantines has a field of another type, and
// against one that reads the same page for ever.
TEST_CASE("OddObjects.QuarantineListWithAnotherFrameCountsAsNoAnswer")
{
    const std::string items = R"({"as_of":9,"items":[{"metadata":{"name":"a","revision":3},"spec":)"
        + SoundQuarantine + "}]";
    for (const std::string &body :
         {items + R"(,"more":"yes"})", items + R"(,"more":null})", items + R"(,"more":true})",
          items + "}", std::string(R"({"as_of":9,"items":7,"more":false})"),
          std::string(R"({"as_of":9,"items":[null],"more":true})"), std::string("7"),
          nested(100000, "[", "]")}) {
        CAPTURE(body.substr(0, 120));
        ObjectsFixture fixture;
        fixture.store.overrideBody("quarantined-requests", body);
        CHECK_FALSE(fixture.readQuarantines());
    }
}

// Guards against refusing the resumed streams of all pools because of one odd object.
TEST_CASE("OddObjects.PoolVersionsHideNoOther")
{
    std::vector<OddSpec> specs = unparsable();
    for (const char *text : {R"({"versions":7,"update":1})", R"({"versions":["v1",5],"update":1})",
                             R"({"versions":["v1"],"update":-1})", R"({"versions":["v1"]})"})
        specs.push_back({text, text});
    for (const OddSpec &spec : specs) {
        CAPTURE(spec.what);
        ObjectsFixture fixture;
        for (const char *pool : {"a", "z"})
            fixture.store.put("pool-versions", pool, {{"versions", {"v1"}}, {"update", 1}});
        fixture.store.putRaw("pool-versions", "odd", spec.text);
        const auto stored = fixture.readPoolVersions();
        REQUIRE(stored);
        for (const char *pool : {"a", "z"}) {
            const auto found = stored->find(units::PoolName(pool));
            REQUIRE(found != stored->end());
            CHECK(found->second.versions == std::set{units::SoftwareVersion("v1")});
        }
        if (const auto odd = stored->find(units::PoolName("odd")); odd != stored->end())
            CHECK_FALSE(odd->second.isReadable);
    }
}

// Guards against a process that ends as a list of versions has a field of another type, and against
// one that reads the same page for ever.
TEST_CASE("OddObjects.PoolVersionListWithAnotherFrameCountsAsNoAnswer")
{
    const std::string items = R"({"as_of":9,"items":[{"metadata":{"name":"a","revision":3},)"
                              R"("spec":{"versions":["v1"],"update":1}}])";
    for (const std::string &body :
         {items + R"(,"more":"yes"})", items + R"(,"more":true})", items + "}",
          std::string(R"({"as_of":9,"items":7,"more":false})"), std::string("7")}) {
        CAPTURE(body);
        ObjectsFixture fixture;
        fixture.store.overrideBody("pool-versions", body);
        CHECK_FALSE(fixture.readPoolVersions());
    }
}

// Guards against an odd lease that ends the process or passes for a valid one.
TEST_CASE("OddObjects.LeaseIsUnknown")
{
    std::vector<OddSpec> specs = unparsable();
    for (const std::string value :
         {"1e300", "-1", "1.5", "\"1\"", "null", "18446744073709551616"}) {
        specs.push_back({"token " + value, R"({"holder":"h","renewal":1,"token":)" + value + "}"});
        specs.push_back(
            {"renewal " + value, R"({"holder":"h","token":1,"renewal":)" + value + "}"});
    }
    specs.push_back({"holder", R"({"holder":7,"token":1,"renewal":1})"});
    for (const OddSpec &spec : specs) {
        CAPTURE(spec.what);
        ObjectsFixture fixture;
        fixture.store.putRaw("duty-leases", "all", spec.text);
        CHECK(fixture.readLease().outcome == duties::LeaseCallResult::Outcome::Unknown);
    }
}

// Guards against odd counts that end the process or are reported as usage.
TEST_CASE("OddObjects.UsageReportIsUnknown")
{
    std::vector<OddSpec> specs = unparsable();
    for (const std::string value : {"1e300", "-1", "1.5", "\"1\"", "null", "18446744073709551616"})
        specs.push_back({"count " + value, R"({"counts":{"w1":)" + value + "}}"});
    for (const std::string value : {"7", "null", "[1]", "\"x\""})
        specs.push_back({"counts " + value, R"({"counts":)" + value + "}"});
    for (const OddSpec &spec : specs) {
        CAPTURE(spec.what);
        ObjectsFixture fixture;
        fixture.store.putRaw("usage-reports", "5", spec.text);
        bool isDone = false;
        fixture.duties.createOrRead(duties::WindowNumber(5), {{units::WorkspaceName("w1"), 3}},
                                    [&](const std::optional<duties::UsageCounts> &counts) {
                                        isDone = true;
                                        CHECK_FALSE(counts);
                                    });
        REQUIRE(fixture.runUntil([&] { return isDone; }));
    }
}

// Guards against a name in a datagram of another host that ends the process as it is written.
TEST_CASE("OddObjects.NameThatIsNotUtf8IsWritten")
{
    ObjectsFixture fixture;
    bool isDone = false;
    fixture.duties.createOrRead(
        duties::WindowNumber(5), {{units::WorkspaceName("w\xff"), 3}},
        [&](const std::optional<duties::UsageCounts> &counts) { isDone = counts.has_value(); });
    CHECK(fixture.runUntil([&] { return isDone; }));
}

// Guards against an odd size of a pool that ends the process or is ordered.
TEST_CASE("OddObjects.PoolBaselineIsUnknown")
{
    std::vector<OddSpec> specs = unparsable();
    for (const std::string value : {"1e300", "-1", "1.5", "\"1\"", "null", "2147483648",
                                    "4294967297", "18446744073709551615"})
        specs.push_back({"endpoints " + value, R"({"endpoints":)" + value + "}"});
    for (const OddSpec &spec : specs) {
        CAPTURE(spec.what);
        ObjectsFixture fixture;
        fixture.store.putRaw("pool-baselines", "plain", spec.text);
        bool isDone = false;
        fixture.duties.read(units::PoolName("plain"),
                            [&](scaling::BaselineStore::Outcome outcome, int) {
                                isDone = true;
                                CHECK(outcome == scaling::BaselineStore::Outcome::Unknown);
                            });
        REQUIRE(fixture.runUntil([&] { return isDone; }));
    }
}

// Guards against an odd object beside the configuration that keeps hosts from following it.
TEST_CASE("OddObjects.OnesBesideTheConfigurationHideNoVersion")
{
    GatewayFixture fixture;
    const std::vector<OddSpec> specs = unparsable();
    const auto version = [&] {
        const auto &table = fixture.gateway->state().table;
        return table == nullptr ? 0 : table->configuration().version;
    };
    for (std::size_t i = 0; i < specs.size(); ++i)
        fixture.store.putRaw("config", (i % 2 == 0 ? "a" : "z") + std::to_string(i), specs[i].text);
    fixture.store.put("config", "main", operatorConfiguration(1));
    fixture.start();
    REQUIRE(fixture.runUntil([&] { return version() == 1; }));
    for (std::size_t i = 0; i < specs.size(); ++i)
        fixture.store.putRaw("config", "b" + std::to_string(i), specs[i].text);
    fixture.store.put("config", "main", operatorConfiguration(2));
    CHECK(fixture.runUntil([&] { return version() == 2; }, std::chrono::seconds(2)));
    // An odd configuration leaves the last one in force.
    fixture.store.putRaw("config", "main", R"({"version":3,"routes":[1e400]})");
    fixture.runFor(std::chrono::milliseconds(500));
    CHECK(version() == 2);
    CHECK(fixture.gateway->isServing());
    fixture.store.put("config", "main", operatorConfiguration(4));
    CHECK(fixture.runUntil([&] { return version() == 4; }, std::chrono::seconds(2)));
}

// Guards against objects of any other kind that end the process.
TEST_CASE("OddObjects.MutatedOnesAreReadWithoutExceptions")
{
    ObjectsFixture fixture;
    CHECK(rc::check([&fixture] {
        fixture.store.putRaw("quarantined-requests", "a", SoundQuarantine);
        fixture.store.putRaw("quarantined-requests", "odd", tests::mutated(SoundQuarantine));
        fixture.store.putRaw("quarantined-requests", "z", SoundQuarantine);
        const auto kept = fixture.readQuarantines();
        RC_ASSERT(kept.has_value());
        RC_ASSERT(kept->size() >= 2U);
        fixture.store.putRaw("duty-leases", "all",
                             tests::mutated(R"({"holder":"h","token":1,"renewal":1})"));
        fixture.readLease();
    }));
}

// Guards against numbers beyond the range of their type, whose conversion is undefined.
TEST_CASE("TrafficDecoder.NumbersOfTheConfigurationAreClampedToTheirRange")
{
    for (const double number : {1e300, -1e300, 1e18, -1.0, 0.0}) {
        CAPTURE(number);
        nlohmann::json spec = operatorConfiguration();
        spec["version"] = number;
        for (const char *key :
             {"timeout_ms", "target_latency_ms", "gap_aim_ms", "max_attempts", "priority"})
            spec["routes"][3][key] = number;
        for (const char *key :
             {"max_header_bytes", "max_body_bytes", "header_timeout_ms", "idle_timeout_ms"})
            spec["limits"][key] = number;
        spec["services"][1]["max_connections"] = number;
        spec["services"][1]["engine"]
            = {{"stride", number}, {"kv_token_bytes", number}, {"link_mbps", number}};
        spec["services"][1]["scaling"] = {{"min", number}, {"max", number}, {"boot_s", number}};
        const auto configuration = decodeTrafficConfiguration(spec, routing::Revision(1));
        REQUIRE(configuration);
        const routing::Route &route = configuration->routes.at(3);
        constexpr auto Day = std::chrono::hours(24);
        for (const units::Duration duration :
             {route.timeout, route.targetLatency, route.maxEventGap, route.maxClientWait}) {
            CHECK(duration >= units::Duration::zero());
            CHECK(duration <= 8 * Day);
        }
        CHECK(route.maxAttempts >= 1);
        CHECK(route.tier.value() <= std::uint32_t(std::numeric_limits<int>::max()));
        CHECK(configuration->limits.idleTimeout >= std::chrono::milliseconds(0));
        CHECK(configuration->limits.idleTimeout <= Day);
        const routing::TrafficPool &pool = configuration->pools.at(1);
        CHECK(pool.maxConnections >= 1);
        CHECK(pool.tokensPerEvent >= 1);
        REQUIRE(pool.scaling);
        CHECK(pool.scaling->minPerDomain >= 0);
        CHECK(pool.scaling->maxPerDomain >= pool.scaling->minPerDomain);
        CHECK(pool.scaling->bootTime >= units::Duration::zero());
        CHECK(pool.scaling->bootTime <= Day);
    }
}

// Guards against names of endpoints that add headers to requests or do not fit into messages.
TEST_CASE("TrafficDecoder.NameThatIsNoHeaderValueDescribesNoEndpoint")
{
    const nlohmann::json spec = standins::workerEntry("plain", "127.0.0.1:9");
    for (const std::string name : {"i-7f3a91c2", "a/b", "a%20b", "a&b=c"})
        CHECK(decodeEndpoint(name, spec));
    for (const std::string &name :
         {std::string(), std::string("a b"), std::string("a\r\nX: y"), std::string("a\0b", 3),
          std::string("\xc3\xa9"), std::string("a\x7f"), std::string(1000000, 'a')})
        CHECK_FALSE(decodeEndpoint(name, spec));
}
