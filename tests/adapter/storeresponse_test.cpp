#include <platform/storeresponse.h>

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace monsoongrade::platform;

namespace {

// Specs of entries that can't be read.
std::vector<std::string> unreadableSpecs()
{
    std::string deep = "1";
    for (int i = 0; i < 100000; ++i)
        deep.insert(0, 1, '[').push_back(']');
    const auto withAddress = [](const std::string &text) {
        return R"({"address":")" + text + R"("})";
    };
    return {withAddress("\xff\xfe"),  withAddress(R"(\udcff\udcfe)"),
            withAddress(R"(\ud800)"), withAddress("\x01"),
            withAddress(R"(\q)"),     withAddress(R"(]}],\"}"  "x)"),
            R"({"slots":1e999})",     R"({"slots":-})",
            R"({"address":"a",})",    deep};
}

std::string item(const std::string &name, int revision, const std::string &spec)
{
    return R"({"metadata":{"name":")" + name + R"(","revision":)" + std::to_string(revision)
        + R"(},"spec":)" + spec + "}";
}

} // namespace

// Guards against one entry of a list that hides all others.
TEST_CASE("StoreResponse.UnreadableItemDoesNotHideOthers")
{
    for (const std::string &spec : unreadableSpecs()) {
        CAPTURE(spec.substr(0, 60));
        const auto body = parseStoreResponse(R"({"items":[)" + item("a", 1, R"({"x":"[{"})") + ","
                                             + item("bad", 2, spec) + "," + item("c", 3, "{}")
                                             + R"(],"more":false,"as_of":9})");
        REQUIRE(body.is_object());
        CHECK(body["as_of"] == 9);
        REQUIRE(body["items"].size() == 3);
        CHECK(body["items"][0]["spec"]["x"] == "[{");
        CHECK(body["items"][2]["metadata"]["name"] == "c");
        CHECK_FALSE(body["items"][1].contains("spec"));
    }
}

// Guards against one change that hides all others, and whose entry stays in use.
TEST_CASE("StoreResponse.UnreadableEventNamesItsObjectAndDoesNotHideOthers")
{
    const auto body
        = parseStoreResponse(R"({"events":[{"object":)" + item("bad", 2, "{\"address\":\"\xff\"}")
                             + R"(,"deleted":false},{"object":)" + item("c", 3, "{}")
                             + R"(,"deleted":true}],"as_of":9})");
    REQUIRE(body.is_object());
    REQUIRE(body["events"].size() == 2);
    CHECK(body["events"][0]["object"]["metadata"]["name"] == "bad");
    CHECK(body["events"][0]["object"]["metadata"]["revision"] == 2);
    CHECK_FALSE(body["events"][0]["object"].contains("spec"));
    CHECK(body["events"][1]["deleted"] == true);
}

// Guards against a truncated or foreign body that passes for an empty list.
TEST_CASE("StoreResponse.BodyThatIsNotJsonIsDiscarded")
{
    for (const std::string body : {"", "x", R"({"items":[{"a":1})",
                                   R"({"items":[{"a":1}]],"as_of":1})", R"({"as_of":1e999})"})
        CHECK(parseStoreResponse(body).is_discarded());
}
