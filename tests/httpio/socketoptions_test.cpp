#include <monsoongrade/httpio/socketoptions.h>

#include <asio/io_context.hpp>

#include <doctest/doctest.h>

#include <netinet/tcp.h>
#include <sys/socket.h>

using namespace monsoongrade;

namespace {

int optionOf(asio::ip::tcp::socket &socket, int option)
{
    int value = 0;
    socklen_t size = sizeof(value);
    REQUIRE(getsockopt(socket.native_handle(), IPPROTO_TCP, option, &value, &size) == 0);
    return value;
}

} // namespace

// Guards against a user timeout that ends an idle connection sooner or later than its probes do.
TEST_CASE("SocketOptions.UserTimeoutAndKeepAliveEndAnIdleConnectionTogether")
{
    asio::io_context io;
    asio::ip::tcp::socket socket(io, asio::ip::tcp::v4());
    httpio::setSocketOptions(socket);
    const int probing = optionOf(socket, TCP_KEEPIDLE)
        + optionOf(socket, TCP_KEEPINTVL) * optionOf(socket, TCP_KEEPCNT);
    CHECK(optionOf(socket, TCP_USER_TIMEOUT) == probing * 1000);
}

// Guards against a kernel that takes a client which pauses for one which is gone.
TEST_CASE("SocketOptions.AcceptedConnectionsAreProbedButHaveNoUserTimeout")
{
    asio::io_context io;
    asio::ip::tcp::socket socket(io, asio::ip::tcp::v4());
    httpio::setClientSocketOptions(socket);
    CHECK(optionOf(socket, TCP_USER_TIMEOUT) == 0);
    CHECK(optionOf(socket, TCP_KEEPIDLE) == 1);
    CHECK(optionOf(socket, TCP_KEEPCNT) == 2);
}
