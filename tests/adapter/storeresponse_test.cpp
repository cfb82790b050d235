#include "oddentries.h"

#include <platform/storeresponse.h>

#include <doctest/doctest.h>

#include <string>

using namespace monsoongrade::platform;

namespace {

std::string item(const std::string &name, int revision, const std::string &spec)
{
    return R"({"metadata":{"name":")" + name + R"(","revision":)" + std::to_string(revision)
        + R"(},"spec":)" + spec + "}";
}

} // namespace

// Guards against one entry of a list that hides all others.
TEST_CASE("StoreResponse.UnreadableItemDoesNotHideOthers")
{
    std::vector<OddSpec> specs = unparsableSpecs();
    for (const OddSpec &spec : unpairedSpecs())
        specs.push_back(spec);
    specs.push_back({"10,000,000 levels", nested(10000000, "[", "]")});
    for (const OddSpec &spec : specs) {
        CAPTURE(spec.what);
        const auto body = parseStoreResponse(R"({"items":[)" + item("a", 1, R"({"x":"[{"})") + ","
                                             + item("bad", 2, spec.text) + "," + item("c", 3, "{}")
                                             + R"(],"more":false,"as_of":9})");
        REQUIRE(body.is_object());
        CHECK(body["as_of"] == 9);
        REQUIRE(body["items"].size() == 3);
        CHECK(body["items"][0]["spec"]["x"] == "[{");
        CHECK(body["items"][2]["metadata"]["name"] == "c");
        CHECK(body["items"][1]["metadata"]["name"] == "bad");
        CHECK(body["items"][1]["metadata"]["revision"] == 2);
        CHECK_FALSE(body["items"][1].contains("spec"));
    }
}

// Guards against an odd entry at the end of a list that hides what follows the list.
TEST_CASE("StoreResponse.UnreadableLastItemDoesNotHideTheFrame")
{
    std::vector<OddSpec> specs = unparsableSpecs();
    for (const OddSpec &spec : unpairedSpecs())
        specs.push_back(spec);
    for (const OddSpec &spec : specs) {
        CAPTURE(spec.what);
        for (const std::string frame : {R"(],"more":true,"as_of":9})", R"(] , "more" : true,
            "as_of": 9 })"}) {
            const auto body = parseStoreResponse("{\"items\":[" + item("a", 1, "{}") + " , "
                                                 + item("bad", 2, spec.text) + frame);
            REQUIRE(body.is_object());
            CHECK(body["as_of"] == 9);
            CHECK(body["more"] == true);
            REQUIRE(body["items"].size() == 2);
            CHECK(body["items"][1]["metadata"]["name"] == "bad");
        }
    }
}

// Guards against one change that hides all others, and whose entry stays in use.
TEST_CASE("StoreResponse.UnreadableEventNamesItsObjectAndDoesNotHideOthers")
{
    std::vector<OddSpec> specs = unparsableSpecs();
    for (const OddSpec &spec : unpairedSpecs())
        specs.push_back(spec);
    for (const OddSpec &spec : specs) {
        CAPTURE(spec.what);
        const auto body = parseStoreResponse(
            R"({"events":[{"deleted":false,"object":)" + item("bad", 2, spec.text)
            + R"(},{"deleted":true,"object":)" + item("c", 3, "{}") + R"(}],"as_of":9})");
        REQUIRE(body.is_object());
        REQUIRE(body["events"].size() == 2);
        CHECK(body["events"][0]["object"]["metadata"]["name"] == "bad");
        CHECK(body["events"][0]["object"]["metadata"]["revision"] == 2);
        CHECK_FALSE(body["events"][0]["object"].contains("spec"));
        CHECK(body["events"][1]["deleted"] == true);
    }
}

// Guards against an odd entry that contains what looks like others and like the end of the list.
TEST_CASE("StoreResponse.EntriesWithinAnUnreadableOneDoNotHideOthers")
{
    const std::string spec
        = R"({"x":[1,{"metadata":{"x":[1,{"metadata":{"name":"n","revision":1}}]}}]}})";
    const auto body
        = parseStoreResponse(R"({"items":[)" + item("a", 1, "{}") + "," + item("bad", 2, spec) + ","
                             + item("c", 3, "{}") + R"(],"more":false,"as_of":9})");
    REQUIRE(body.is_object());
    CHECK(body["items"].front()["metadata"]["name"] == "a");
    CHECK(body["items"].back()["metadata"]["name"] == "c");
    CHECK(body["items"].back().contains("spec"));
    CHECK_FALSE(body["items"][1].contains("spec"));
}

// Guards against a truncated or foreign body that passes for an empty list.
TEST_CASE("StoreResponse.BodyThatIsNotJsonIsDiscarded")
{
    for (const std::string body : {"", "x", R"({"items":[{"a":1})",
                                   R"({"items":[{"a":1}]],"as_of":1})", R"({"as_of":1e999})"})
        CHECK(parseStoreResponse(body).is_discarded());
}
