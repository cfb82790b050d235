#ifndef MONSOONGRADE_SRC_HTTP_INTERNAL_CONNECTIONBREAKER_H
#define MONSOONGRADE_SRC_HTTP_INTERNAL_CONNECTIONBREAKER_H

#include <cstdint>
#include <string>

namespace monsoongrade::http::internal {

// Breaks the TCP connection of this process whose far end is the given address and port and
// whose near end is the given port. The HTTP library has no call for it: it can only finish an
// answer, and a truncated answer that is finished looks whole to the caller.
void breakConnection(const std::string &peerAddress, std::uint16_t peerPort,
                     std::uint16_t localPort);

} // namespace monsoongrade::http::internal

#endif // MONSOONGRADE_SRC_HTTP_INTERNAL_CONNECTIONBREAKER_H
