#ifndef MONSOONGRADE_HTTPIO_MESSAGEWRITER_H
#define MONSOONGRADE_HTTPIO_MESSAGEWRITER_H

#include <monsoongrade/httpio/messagehead.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace monsoongrade::httpio {

// How the receiver finds the end of the body.
enum class Framing { Length, Chunked };

// Encodes the head of a request. Writes a length of 0 only for methods that carry bodies.
std::string encodeRequestHead(std::string_view method, std::string_view target,
                              const Headers &headers, std::size_t bodyLength);

// Encodes the head of a response; the length is used only with Framing::Length.
std::string encodeResponseHead(int status, const Headers &headers, Framing framing,
                               std::size_t bodyLength, bool keepAlive);

// Encodes one chunk of a chunked body. Must not be empty, as an empty chunk ends the body.
std::string encodeChunk(std::string_view bytes);

// Ends a chunked body.
constexpr std::string_view LastChunk = "0\r\n\r\n";

} // namespace monsoongrade::httpio

#endif // MONSOONGRADE_HTTPIO_MESSAGEWRITER_H
