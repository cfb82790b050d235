#include "oddentries.h"

namespace monsoongrade::soak {

namespace {

constexpr std::size_t NestingDepth = 20000;
constexpr std::size_t LongText = 60000;
constexpr std::size_t HugeDigits = 400;

std::string entryWith(const std::string &address, const std::string &otherFields)
{
    return R"({"service":"model","address":)" + address
        + R"(,"zone":"z1","slots":16,"state":"ready","version":"v1",)" + otherFields + "}";
}

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

} // namespace

std::string oddEntry(std::size_t kind)
{
    const std::string huge(HugeDigits, '9');
    const std::string noAddress = "\"\"";
    switch (kind) {
    case 0: // bytes that are no text
        return entryWith("\"\xff\xfe\x80\"", "\"born\":1");
    case 1: // deep nesting
        return entryWith(noAddress, "\"born\":" + nested(NestingDepth));
    case 2: // numbers that fit no type
        return R"({"service":"model","address":"","slots":)" + huge + R"(,"born":-)" + huge
            + R"(,"sequence":1e999,"cold_remaining_ms":-1e300})";
    case 3: // no such port
        return entryWith(R"("127.0.0.1:99999")", "\"born\":1");
    case 4: // no number as the port
        return entryWith(R"("127.0.0.1:-1:80x")", "\"born\":1");
    case 5: // no object
        return "[null,{},\"x\"]";
    case 6: // fields of other types
        return R"({"service":["model"],"address":{"ip":1},"zone":7,"slots":"many","state":null,)"
               R"("version":{},"born":true})";
    default: // long texts
        return entryWith("\"" + std::string(LongText, ':') + "\"", "\"born\":1e18");
    }
}

} // namespace monsoongrade::soak
