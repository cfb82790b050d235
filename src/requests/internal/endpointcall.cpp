#include <requests/internal/endpointcall.h>

namespace monsoongrade::requests::internal {

endpoints::EndpointRequest endpointCall(const ClassifiedRequest &request,
                                        const configuration::EndpointConfig &endpoint)
{
    endpoints::EndpointRequest call;
    call.method = request.method;
    call.url
        = "http://" + endpoint.address + ":" + std::to_string(endpoint.port) + request.pathAndQuery;
    call.headers = request.headers;
    call.body = request.body;
    call.silenceTimeout = request.pool.silenceTimeout;
    call.maySend = request.maySend;
    call.freshConnection = request.run == configuration::RunRule::AtMostOnce;
    return call;
}

} // namespace monsoongrade::requests::internal
