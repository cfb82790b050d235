#ifndef MONSOONGRADE_DAEMON_OPERATORLISTENER_H
#define MONSOONGRADE_DAEMON_OPERATORLISTENER_H

#include <monsoongrade/daemon/operatorservice.h>
#include <monsoongrade/http/httpserver.h>

#include <cstdint>
#include <string>

namespace monsoongrade::daemon {

// Serves the operators' pages at the given address, apart from callers, so that a flood of
// callers takes no connection from operators. Lower limits than callers have. Throws
// std::runtime_error where the address can't be listened on.
class OperatorListener
{
public:
    // The service must outlive the listener.
    OperatorListener(const std::string &address, std::uint16_t port,
                     const OperatorService &service);

private:
    http::HttpServer server_;
};

} // namespace monsoongrade::daemon

#endif // MONSOONGRADE_DAEMON_OPERATORLISTENER_H
