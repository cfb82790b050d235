#include <monsoongrade/httpio/socketoptions.h>

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <cerrno>
#include <charconv>

namespace monsoongrade::httpio {

namespace {

// A silent peer is detected after idle + count x interval = 3 s, about the time after which a host
// is considered lost. Probing an idle connection costs one packet a second. With a user timeout,
// that alone decides when the probes of an idle connection give up, so both are the same.
constexpr int KeepAliveIdleSeconds = 1;
constexpr int KeepAliveIntervalSeconds = 1;
constexpr int KeepAliveProbes = 2;
// A connection is closed if sent bytes are not acknowledged for this long. Round trips take a few
// milliseconds, and a lost packet is retransmitted after about 0.2 to 1 s.
constexpr unsigned UserTimeoutMs = 3000;

void set(asio::ip::tcp::socket &socket, int level, int option, int value)
{
    // Errors are ignored: without an option, the request timeouts still apply.
    setsockopt(socket.native_handle(), level, option, &value, sizeof(value));
}

} // namespace

void setClientSocketOptions(asio::ip::tcp::socket &socket)
{
    set(socket, IPPROTO_TCP, TCP_NODELAY, 1);
    set(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    set(socket, IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveIdleSeconds);
    set(socket, IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveIntervalSeconds);
    set(socket, IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbes);
}

void setSocketOptions(asio::ip::tcp::socket &socket)
{
    setClientSocketOptions(socket);
    set(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, int(UserTimeoutMs));
}

PendingInput pendingInput(asio::ip::tcp::socket &socket)
{
    char byte = 0;
    const auto count = recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (count > 0)
        return PendingInput::Bytes;
    const bool hasNone = count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    return hasNone ? PendingInput::None : PendingInput::EndOrError;
}

std::size_t unacknowledgedBytes(asio::ip::tcp::socket &socket)
{
    int bytes = 0;
    return ioctl(socket.native_handle(), SIOCOUTQ, &bytes) == 0 ? std::size_t(bytes) : 0;
}

std::optional<asio::ip::tcp::endpoint> parseAddress(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    asio::error_code error;
    const auto address = asio::ip::make_address_v4(text.substr(0, colon), error);
    std::uint16_t port = 0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    if (error || parsed.ec != std::errc() || parsed.ptr != end || port == 0)
        return std::nullopt;
    return asio::ip::tcp::endpoint(address, port);
}

} // namespace monsoongrade::httpio
