#include <monsoongrade/httpsyntax/headersyntax.h>

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

} // namespace monsoongrade::httpsyntax
