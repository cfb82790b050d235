#include <monsoongrade/httpsyntax/headersyntax.h>

#include <algorithm>

namespace monsoongrade::httpsyntax {

bool hasOnlyTokenCharacters(std::string_view text)
{
    constexpr std::string_view Allowed = "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyz"
                                         "ABCDEFGHIJKLMNOPQRSTUVWXYZ";
    return text.find_first_not_of(Allowed) == std::string_view::npos;
}

bool isHeaderName(std::string_view text)
{
    return !text.empty() && hasOnlyTokenCharacters(text);
}

bool isHeaderValue(std::string_view text)
{
    constexpr unsigned char Delete = 0x7f;
    return std::all_of(text.begin(), text.end(),
                       [](unsigned char c) { return c == '\t' || (c >= ' ' && c != Delete); });
}

} // namespace monsoongrade::httpsyntax
