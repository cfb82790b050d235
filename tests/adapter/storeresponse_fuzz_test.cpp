#include "oddentries.h"

#include <mutation.h>

#include <platform/storepage.h>
#include <platform/storeresponse.h>
#include <platform/trafficdecoder.h>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

using namespace monsoongrade;
using namespace monsoongrade::platform;

namespace {

constexpr auto MaxParseTime = std::chrono::seconds(1);

std::string soundSpec()
{
    nlohmann::json spec = standins::workerEntry("plain", "127.0.0.1:9");
    spec["version"] = "v1";
    spec["models"] = {{{"name", "m"}, {"adapters", nlohmann::json::array()}}};
    return spec.dump();
}

std::string item(const std::string &name, const std::string &spec)
{
    return R"({"metadata":{"name":")" + name + R"(","revision":7,"finalizers":[]},"spec":)" + spec
        + R"(,"status":null})";
}

// Specs that are mutated, or from the table.
std::string oddSpec()
{
    static const std::vector<OddSpec> Table = [] {
        std::vector<OddSpec> specs = unparsableSpecs();
        for (const OddSpec &spec : unpairedSpecs())
            specs.push_back(spec);
        specs.erase(std::remove_if(specs.begin(), specs.end(),
                                   [](const OddSpec &spec) { return spec.text.size() > 10000; }),
                    specs.end());
        return specs;
    }();
    if (*rc::gen::inRange(0, 3) == 0)
        return Table.at(*rc::gen::inRange<std::size_t>(0, Table.size())).text;
    return tests::mutated(soundSpec());
}

struct OddList
{
    std::string items; // or events
    std::vector<std::string> sound; // names
};

// Up to 12 entries, each of which is sound or odd.
OddList oddList(bool areEvents)
{
    OddList list;
    const int count = *rc::gen::inRange(1, 13);
    for (int i = 0; i < count; ++i) {
        const bool isOdd = *rc::gen::inRange(0, 3) == 0;
        const std::string name = (isOdd ? "odd" : "sound") + std::to_string(i);
        if (!isOdd)
            list.sound.push_back(name);
        const std::string entry = item(name, isOdd ? oddSpec() : soundSpec());
        list.items += i == 0 ? "" : ",";
        list.items += areEvents ? R"({"deleted":false,"object":)" + entry + "}" : entry;
    }
    return list;
}

nlohmann::json parsed(const std::string &text)
{
    const auto begin = std::chrono::steady_clock::now();
    nlohmann::json body = parseStoreResponse(text);
    RC_ASSERT(std::chrono::steady_clock::now() - begin < MaxParseTime);
    return body;
}

// Decodes as each kind of object, and returns whether it is a sound endpoint.
bool decodeAll(const MirroredObject &object)
{
    decodeTrafficConfiguration(object.spec, object.revision);
    decodePoolName(object.spec);
    return decodeEndpoint(object.name, object.spec).has_value();
}

void checkHasSound(const std::vector<MirroredObject> &objects,
                   const std::vector<std::string> &sound)
{
    std::vector<std::string> found;
    for (const MirroredObject &object : objects) {
        if (decodeAll(object) && object.name.compare(0, 5, "sound") == 0)
            found.push_back(object.name);
    }
    RC_ASSERT(found == sound);
}

} // namespace

// Guards against an odd entry that hides a sound one, or is read in its place.
TEST_CASE("StoreResponse.SoundItemsAreFoundBesideMutatedOnes")
{
    CHECK(rc::check([] {
        const OddList list = oddList(false);
        const auto page
            = decodePage(parsed(R"({"items":[)" + list.items + R"(],"more":false,"as_of":9})"));
        RC_ASSERT(page.has_value());
        RC_ASSERT(page->asOf == 9U);
        checkHasSound(page->objects, list.sound);
    }));
}

TEST_CASE("StoreResponse.SoundEventsAreFoundBesideMutatedOnes")
{
    CHECK(rc::check([] {
        const OddList list = oddList(true);
        const auto changes
            = decodeChanges(parsed(R"({"events":[)" + list.items + R"(],"as_of":9})"));
        RC_ASSERT(changes.has_value());
        std::vector<MirroredObject> objects;
        for (const MirrorEvent &event : changes->events)
            objects.push_back(event.object);
        checkHasSound(objects, list.sound);
    }));
}

// Guards against bodies of any other kind that end the process.
TEST_CASE("StoreResponse.MutatedBodiesAreReadWithoutExceptions")
{
    CHECK(rc::check([] {
        const std::string body = tests::mutated(R"({"items":[)" + oddList(false).items
                                                + R"(],"more":false,"as_of":9})");
        const nlohmann::json json = parsed(body);
        if (const auto page = decodePage(json)) {
            for (const MirroredObject &object : page->objects)
                decodeAll(object);
        }
        decodeChanges(json);
        const std::string configuration = tests::mutated(
            R"({"version":1,"routes":[{"name":"r","kind":"safe","path_prefix":"/a/",)"
            R"("service":"s","timeout_ms":1e3,"max_attempts":2,"priority":1}],"services":)"
            R"([{"name":"s","engine":{"stride":2},"scaling":{"min":1,"zone_prices":{"z":1}}}],)"
            R"("tenants":[{"name":"w","api_keys":["k"]}],"limits":{"idle_timeout_ms":500}})");
        decodeTrafficConfiguration(parsed(configuration), routing::Revision(1));
    }));
}
