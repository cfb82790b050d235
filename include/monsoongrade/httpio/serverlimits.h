#ifndef MONSOONGRADE_HTTPIO_SERVERLIMITS_H
#define MONSOONGRADE_HTTPIO_SERVERLIMITS_H

#include <chrono>
#include <cstddef>

namespace monsoongrade::httpio {

// Limits on the size and duration of requests. The server reads them at each use, so a change
// affects open connections too. The defaults apply until the operator's configuration arrives.
struct ServerLimits
{
    std::size_t maxHeadBytes = 16 * 1024;
    std::size_t maxBodyBytes = 4 * 1024 * 1024;
    // From the first byte of a request to the end of its head.
    std::chrono::milliseconds headTimeout = std::chrono::seconds(5);
    // Without receiving a byte, between two requests or within a body.
    std::chrono::milliseconds idleTimeout = std::chrono::seconds(30);
    // Total size of the bodies of all connections, above which requests are refused. Set from the
    // memory of the host.
    std::size_t maxBufferedBytes = 64 * 1024 * 1024;
    // Connections that are served. Above it, the one that has been idle longest is closed for each
    // new one.
    std::size_t maxConnections = 1000;
    // Further connections, accepted while none of the others is idle. Their requests are refused as
    // not run, so that clients need not wait. Above it, connections are not accepted. With 0, a new
    // connection waits until there is room.
    std::size_t maxRefusedConnections = 16;
};

} // namespace monsoongrade::httpio

#endif // MONSOONGRADE_HTTPIO_SERVERLIMITS_H
