#ifndef MONSOONGRADE_ENDPOINTS_ENDPOINTCLIENT_H
#define MONSOONGRADE_ENDPOINTS_ENDPOINTCLIENT_H

#include <monsoongrade/endpoints/endpointend.h>
#include <monsoongrade/endpoints/endpointrequest.h>

#include <cstdint>
#include <memory>
#include <string_view>

namespace monsoongrade::endpoints {

using CallId = std::uint64_t;

enum class FlowControl { Continue, Pause };

// Receives one call's answer. Called on the client's own thread, in order: head, bodies, end.
// After cancel() nothing more arrives.
class EndpointListener
{
public:
    virtual ~EndpointListener() = default;
    virtual void answerHead(int status, const Headers &headers) = 0;
    // Pause: no further body is read until resume().
    virtual FlowControl answerBody(std::string_view bytes) = 0;
    virtual void answerEnd(const EndpointEnd &end) = 0;
};

// Calls endpoints over HTTP. Thread-safe; never calls a listener from within these functions.
class EndpointClient
{
public:
    virtual ~EndpointClient() = default;
    virtual CallId start(EndpointRequest request, std::shared_ptr<EndpointListener> listener) = 0;
    virtual void resume(CallId call) = 0;
    // Closes the call's connection; engines take that as a cancel.
    virtual void cancel(CallId call) = 0;
};

} // namespace monsoongrade::endpoints

#endif // MONSOONGRADE_ENDPOINTS_ENDPOINTCLIENT_H
