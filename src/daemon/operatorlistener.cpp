#include <monsoongrade/daemon/operatorlistener.h>

namespace monsoongrade::daemon {

namespace {

constexpr std::size_t BodyLimit = 64 * 1024;
constexpr std::size_t ConnectionLimit = 100;

http::HttpServerSettings listenerAt(const std::string &address, std::uint16_t port)
{
    http::HttpServerSettings listener;
    listener.address = address;
    listener.port = port;
    listener.bodyLimit = BodyLimit;
    listener.connectionLimit = ConnectionLimit;
    return listener;
}

} // namespace

OperatorListener::OperatorListener(const std::string &address, std::uint16_t port,
                                   const OperatorService &service)
    : server_(listenerAt(address, port),
              [&service](const http::HttpRequest &request, const auto &responder) {
                  service.handle(request, *responder);
              })
{
}

} // namespace monsoongrade::daemon
