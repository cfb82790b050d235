#ifndef MONSOONGRADE_HTTPIO_SOCKETOPTIONS_H
#define MONSOONGRADE_HTTPIO_SOCKETOPTIONS_H

#include <asio/ip/tcp.hpp>

#include <optional>
#include <string>

namespace monsoongrade::httpio {

// Sends small writes at once, and has the system break a connection whose peer went silent:
// without a reset, a host that lost power or a path would otherwise look connected for ever.
void setSocketOptions(asio::ip::tcp::socket &socket);

// Reads "1.2.3.4:80"; nothing if the text is no such address.
std::optional<asio::ip::tcp::endpoint> parseAddress(const std::string &text);

} // namespace monsoongrade::httpio

#endif // MONSOONGRADE_HTTPIO_SOCKETOPTIONS_H
