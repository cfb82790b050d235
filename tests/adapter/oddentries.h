#ifndef MONSOONGRADE_TESTS_ADAPTER_ODDENTRIES_H
#define MONSOONGRADE_TESTS_ADAPTER_ODDENTRIES_H

#include "../platform_standin/standinstore.h"

#include <cstddef>
#include <string>
#include <vector>

namespace monsoongrade::platform {

// What another writer may have stored as the spec of an object: the bytes as they are sent.
struct OddSpec
{
    std::string what;
    std::string text;
};

inline std::string nested(std::size_t levels, const std::string &open, const std::string &close)
{
    std::string text;
    text.reserve(levels * (open.size() + close.size()) + 1);
    for (std::size_t i = 0; i < levels; ++i)
        text += open;
    text += "1";
    for (std::size_t i = 0; i < levels; ++i)
        text += close;
    return text;
}

// Specs that are not JSON, or nested too deeply, and end where their brackets do.
inline std::vector<OddSpec> unparsableSpecs()
{
    const auto withAddress = [](const std::string &text) {
        return R"({"address":")" + text + R"("})";
    };
    const auto withSlots = [](const std::string &text) {
        return R"({"slots":)" + text + "}";
    };
    return {{"bytes that are not UTF-8", withAddress("\xff\xfe")},
            {"overlong UTF-8", withAddress("\xc0\xaf")},
            {"UTF-8 of a surrogate", withAddress("\xed\xa0\x80")},
            {"truncated UTF-8", withAddress("\xe2\x82")},
            {"second halves of surrogate pairs", withAddress(R"(\udcff\udcfe)")},
            {"first half of a surrogate pair", withAddress(R"(\ud800)")},
            {"control character", withAddress("\x01")},
            {"line break", withAddress("a\nb")},
            {"zero byte", withAddress(std::string(1, '\0'))},
            {"unknown escape", withAddress(R"(\q)")},
            {"short escape", withAddress(R"(\u12)")},
            {"brackets in a string", withAddress("]}],\\\"}\xff")},
            {"two strings",
             R"({"address":"]}],\"}"  "x)"
             "\xff"
             R"("})"},
            {"number beyond double", withSlots("1e400")},
            {"negative number beyond double", withSlots("-1e999")},
            {"whole number beyond double", withSlots("1" + std::string(400, '0'))},
            {"not a number", withSlots("NaN")},
            {"infinity", withSlots("-Infinity")},
            {"minus only", withSlots("-")},
            {"leading zero", withSlots("08")},
            {"hexadecimal", withSlots("0x10")},
            {"no value", withSlots("")},
            {"misspelled literal", withSlots("True")},
            {"comma before the end", R"({"address":"a",})"},
            {"comment", R"({"address":/* a */"a"})"},
            {"single quotes", "{'address':'a'}"},
            {"100 levels", nested(100, "[", "]")},
            {"10,000 levels", R"({"a":)" + nested(10000, R"({"a":)", "}") + "}"},
            {"100,000 levels", nested(100000, "[", "]")},
            {"1 MB that is not JSON", withAddress(std::string(1000000, '\x02'))}};
}

// Specs after which brackets and quotes no longer tell where entries end.
inline std::vector<OddSpec> unpairedSpecs()
{
    return {{"unpaired quote", R"({"address":"a"b"})"},
            {"quote at the end", R"({"address":"a""})"},
            {"no quote at the end", R"({"address":"a})"},
            {"backslash before the last quote", R"({"address":"a\"})"},
            {"quotes around brackets", R"({"address":"]}],\"}"x"})"},
            {"closing brackets", R"({"address":"a"}]}]})"},
            {"closing braces", R"({"address":"a"}}})"},
            {"brace and bracket", R"({"address":"a"}}])"},
            {"brace and brackets", R"({"address":"a"}}]])"},
            {"opening brackets", R"({"address":[[{{"a"})"},
            {"other kind of bracket", R"({"address":["a"})"},
            {"nothing", ""},
            {"opening quote only", "\""},
            {"opening bracket only", "{"}};
}

// Specs of servers that are JSON, but describe no worker to use.
inline std::vector<OddSpec> unusableWorkers(const std::string &address)
{
    using nlohmann::json;
    const auto with = [&](const std::string &key, const json &value) {
        json entry = standins::workerEntry("plain", address);
        entry["version"] = "v1";
        entry[key] = value;
        return OddSpec{key + " " + value.dump().substr(0, 30), entry.dump()};
    };
    const auto withText = [&](const std::string &key, const std::string &value) {
        OddSpec spec = with(key, "placeholder");
        spec.what = key + " " + value;
        spec.text.replace(spec.text.find("\"placeholder\""), 13, value);
        return spec;
    };
    std::vector<OddSpec> specs{{"null", "null"},
                               {"array", "[]"},
                               {"text", "\"worker\""},
                               {"number", "7"},
                               {"empty object", "{}"}};
    for (const char *key : {"service", "address", "zone", "slots", "state"}) {
        json entry = standins::workerEntry("plain", address);
        entry.erase(key);
        specs.push_back({std::string("without ") + key, entry.dump()});
    }
    for (const json &value : {json(nullptr), json(5), json(true), json::array(), json::object()}) {
        for (const char *key : {"service", "address", "zone", "version", "state"})
            specs.push_back(with(key, value));
    }
    for (const char *key : {"service", "address", "state"})
        specs.push_back(with(key, ""));
    specs.push_back(with("state", "READY"));
    specs.push_back(with("spot", "yes"));
    for (const char *number : {"1e300", "-1e300", "-1", "0", "0.5", "\"8\"", "2147483648", "true",
                               "9223372036854775808", "18446744073709551616", "1e308"})
        specs.push_back(withText("slots", number));
    for (const char *number : {"1e300", "1.5", "-1", "9223372036854775808", "18446744073709551615",
                               "18446744073709551616", "\"1\"", "true"})
        specs.push_back(withText("born", number));
    for (const char *port : {"", ":", ":0", ":65536", ":99999999999", ":-1", ":+9", ": 9", ":9 ",
                             ":9x", ":0x9", ":9:9"})
        specs.push_back(with("address", "127.0.0.1" + std::string(port)));
    for (const char *host : {"", " 127.0.0.1", "127.0.0.1 ", "127.1", "127.0.0.256", "[::1]", "::1",
                             "localhost", "127.0.0.1\r\nX: y"})
        specs.push_back(with("address", std::string(host) + ":9"));
    for (const char *key : {"service", "address", "zone", "version", "state"})
        specs.push_back(with(key, std::string(1000000, 'a')));
    return specs;
}

} // namespace monsoongrade::platform

#endif // MONSOONGRADE_TESTS_ADAPTER_ODDENTRIES_H
