#ifndef MONSOONGRADE_GATEWAY_INTERNAL_HTTPSTATUS_H
#define MONSOONGRADE_GATEWAY_INTERNAL_HTTPSTATUS_H

namespace monsoongrade::gateway::internal {

// Status codes of the gateway's own responses.
constexpr int StatusUnauthorized = 401;
constexpr int StatusNotFound = 404;
constexpr int StatusBadGateway = 502;
constexpr int StatusUnavailable = 503; // the request has not run
constexpr int StatusGatewayTimeout = 504;

inline bool isSuccess(int status)
{
    return status >= 200 && status < 300;
}

inline bool isServerError(int status)
{
    return status >= 500;
}

} // namespace monsoongrade::gateway::internal

#endif // MONSOONGRADE_GATEWAY_INTERNAL_HTTPSTATUS_H
