#ifndef MONSOONGRADE_HTTPIO_MESSAGEHEAD_H
#define MONSOONGRADE_HTTPIO_MESSAGEHEAD_H

#include <monsoongrade/http/httprequest.h>

#include <string>
#include <string_view>

namespace monsoongrade::httpio {

using http::Headers;

// Start line and headers of one HTTP/1.1 message. Header names keep the sender's case.
struct MessageHead
{
    std::string method; // requests only
    std::string target; // requests only; path and query as sent
    int status = 0; // responses only
    Headers headers;
    bool keepAlive = true; // the sender will accept another message on this connection
    bool endsAtClose = false; // a response without length, which ends at the orderly close
    bool hasBody = false; // a length above 0, chunked, or delimited by the close
};

// Returns the text without spaces and tabs at both ends, which are not part of a header's value
// (RFC 9110 section 5.5).
std::string_view trimmed(std::string_view text);

// Compares case-insensitively.
bool sameHeaderName(std::string_view a, std::string_view b);

// Returns the value of the first header of that name, or nullptr.
const std::string *findHeader(const Headers &headers, std::string_view name);

// True if any header of that name lists the token, case-insensitively ("Connection: a, close").
bool headerListsToken(const Headers &headers, std::string_view name, std::string_view token);

// Returns the headers without hop-by-hop ones: those that HTTP/1.1 defines, those listed in the
// Connection header, and those that frame the body.
Headers endToEndHeaders(const Headers &headers);

} // namespace monsoongrade::httpio

#endif // MONSOONGRADE_HTTPIO_MESSAGEHEAD_H
