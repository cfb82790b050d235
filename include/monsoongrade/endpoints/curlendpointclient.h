#ifndef MONSOONGRADE_ENDPOINTS_CURLENDPOINTCLIENT_H
#define MONSOONGRADE_ENDPOINTS_CURLENDPOINTCLIENT_H

#include <monsoongrade/endpoints/endpointclient.h>

#include <memory>

namespace monsoongrade::endpoints {

// EndpointClient by libcurl, on one thread of its own with an Asio loop.
class CurlEndpointClient : public EndpointClient
{
public:
    CurlEndpointClient();
    ~CurlEndpointClient() override;

    CallId start(EndpointRequest request, std::shared_ptr<EndpointListener> listener) override;
    void resume(CallId call) override;
    void cancel(CallId call) override;

private:
    class Loop;
    std::unique_ptr<Loop> loop_;
};

} // namespace monsoongrade::endpoints

#endif // MONSOONGRADE_ENDPOINTS_CURLENDPOINTCLIENT_H
