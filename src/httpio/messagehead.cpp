#include <monsoongrade/httpio/messagehead.h>

#include <algorithm>
#include <array>
#include <vector>

namespace monsoongrade::httpio {

namespace {

// RFC 9110 section 7.6.1, and the two framing headers, which each hop writes itself.
constexpr std::array<std::string_view, 11> HopByHopNames{
    "connection", "keep-alive",     "proxy-connection",   "proxy-authenticate",
    "te",         "trailer",        "transfer-encoding",  "upgrade",
    "expect",     "content-length", "proxy-authorization"};

char lower(char c)
{
    return c >= 'A' && c <= 'Z' ? char(c - 'A' + 'a') : c;
}

// Calls the function with each element of a comma-separated header value.
template <typename Function>
void forEachToken(std::string_view value, Function &&function)
{
    while (!value.empty()) {
        const std::size_t comma = value.find(',');
        const std::string_view token = trimmed(value.substr(0, comma));
        if (!token.empty())
            function(token);
        value = comma == std::string_view::npos ? std::string_view() : value.substr(comma + 1);
    }
}

std::vector<std::string_view> connectionOptions(const Headers &headers)
{
    std::vector<std::string_view> names;
    for (const auto &[name, value] : headers) {
        if (sameHeaderName(name, "connection"))
            forEachToken(value, [&](std::string_view token) { names.push_back(token); });
    }
    return names;
}

} // namespace

std::string_view trimmed(std::string_view text)
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
        text.remove_prefix(1);
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
        text.remove_suffix(1);
    return text;
}

bool sameHeaderName(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
               return lower(x) == lower(y);
           });
}

const std::string *findHeader(const Headers &headers, std::string_view name)
{
    for (const auto &[headerName, value] : headers) {
        if (sameHeaderName(headerName, name))
            return &value;
    }
    return nullptr;
}

bool headerListsToken(const Headers &headers, std::string_view name, std::string_view token)
{
    bool found = false;
    for (const auto &[headerName, value] : headers) {
        if (sameHeaderName(headerName, name))
            forEachToken(value, [&](std::string_view each) {
                found = found || sameHeaderName(each, token);
            });
    }
    return found;
}

Headers endToEndHeaders(const Headers &headers)
{
    const std::vector<std::string_view> named = connectionOptions(headers);
    const auto matches = [](std::string_view name, const auto &names) {
        return std::any_of(names.begin(), names.end(),
                           [&](std::string_view each) { return sameHeaderName(name, each); });
    };
    Headers kept;
    for (const auto &header : headers) {
        if (!matches(header.first, HopByHopNames) && !matches(header.first, named))
            kept.push_back(header);
    }
    return kept;
}

} // namespace monsoongrade::httpio
