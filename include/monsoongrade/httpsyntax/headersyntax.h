#ifndef MONSOONGRADE_HTTPSYNTAX_HEADERSYNTAX_H
#define MONSOONGRADE_HTTPSYNTAX_HEADERSYNTAX_H

#include <string_view>

namespace monsoongrade::httpsyntax {

// True if each character may occur in a token (RFC 9110 section 5.6.2); also for an empty text.
bool hasOnlyTokenCharacters(std::string_view text);

// True for a token, which has at least one character.
bool isHeaderName(std::string_view text);

// True if the text has no control characters except tabs (RFC 9110 section 5.5).
bool isHeaderValue(std::string_view text);

} // namespace monsoongrade::httpsyntax

#endif // MONSOONGRADE_HTTPSYNTAX_HEADERSYNTAX_H
