#ifndef MONSOONGRADE_HTTPIO_SOCKETOPTIONS_H
#define MONSOONGRADE_HTTPIO_SOCKETOPTIONS_H

#include <asio/ip/tcp.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace monsoongrade::httpio {

// Disables Nagle's algorithm and enables keep-alive probes and a user timeout, so that the kernel
// closes a connection whose peer is silent: a host that lost power or its network path sends no
// reset and would otherwise look connected forever.
void setSocketOptions(asio::ip::tcp::socket &socket);

// The same without the user timeout, for connections that a server accepts. To the kernel, a client
// that does not read for that long looks like one that is gone. The server itself has to close
// connections whose clients read nothing for too long.
void setClientSocketOptions(asio::ip::tcp::socket &socket);

enum class PendingInput : std::uint8_t { None, Bytes, EndOrError };

// What a read of the socket would return now, without reading it or waiting.
PendingInput pendingInput(asio::ip::tcp::socket &socket);

// Bytes written to the socket that the peer has not acknowledged yet; 0 if the kernel does not
// tell.
std::size_t unacknowledgedBytes(asio::ip::tcp::socket &socket);

// Parses an IPv4 address with port, such as "1.2.3.4:80"; returns nothing if the text is invalid.
std::optional<asio::ip::tcp::endpoint> parseAddress(const std::string &text);

} // namespace monsoongrade::httpio

#endif // MONSOONGRADE_HTTPIO_SOCKETOPTIONS_H
