#include <http/internal/connectionbreaker.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include <algorithm>

namespace monsoongrade::http::internal {

namespace {

constexpr rlim_t MaxDescriptors = 65536;

bool isConnection(int descriptor, const sockaddr_in &peer, std::uint16_t localPort)
{
    sockaddr_in address{};
    socklen_t length = sizeof(address);
    if (getpeername(descriptor, reinterpret_cast<sockaddr *>(&address), &length) != 0)
        return false;
    if (address.sin_family != AF_INET || address.sin_port != peer.sin_port
        || address.sin_addr.s_addr != peer.sin_addr.s_addr)
        return false;
    length = sizeof(address);
    if (getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &length) != 0)
        return false;
    return ntohs(address.sin_port) == localPort;
}

} // namespace

void breakConnection(const std::string &peerAddress, std::uint16_t peerPort,
                     std::uint16_t localPort)
{
    sockaddr_in peer{};
    peer.sin_port = htons(peerPort);
    if (inet_pton(AF_INET, peerAddress.c_str(), &peer.sin_addr) != 1)
        return;
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    const int end = static_cast<int>(std::min(limit.rlim_cur, MaxDescriptors));
    for (int descriptor = 0; descriptor < end; ++descriptor) {
        if (!isConnection(descriptor, peer, localPort))
            continue;
        // With no lingering the far end gets a reset and can't take the end for a regular one.
        const linger reset{1, 0};
        setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
        shutdown(descriptor, SHUT_RD);
        return;
    }
}

} // namespace monsoongrade::http::internal
