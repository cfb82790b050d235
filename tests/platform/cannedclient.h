#ifndef MONSOONGRADE_TESTS_PLATFORM_CANNEDCLIENT_H
#define MONSOONGRADE_TESTS_PLATFORM_CANNEDCLIENT_H

#include <monsoongrade/endpoints/endpointclient.h>

#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace monsoongrade::platform {

// Answers every call with the same status and body, the latter in pieces of its own thread.
class CannedClient : public endpoints::EndpointClient
{
public:
    ~CannedClient() override
    {
        for (std::thread &thread : threads_)
            thread.join();
    }
    endpoints::CallId start(endpoints::EndpointRequest request,
                            std::shared_ptr<endpoints::EndpointListener> listener) override
    {
        last = std::move(request);
        threads_.emplace_back([this, listener = std::move(listener)] {
            listener->answerHead(status, {});
            for (int i = 0; i < repeats; ++i)
                listener->answerBody(body);
            listener->answerEnd(endpoints::EndpointEnd());
        });
        return threads_.size();
    }
    void resume(endpoints::CallId) override { }
    void cancel(endpoints::CallId) override { ++cancelled; }

    int status = 200;
    endpoints::EndpointRequest last;
    std::string body;
    int repeats = 1;
    int cancelled = 0;

private:
    std::vector<std::thread> threads_;
};

} // namespace monsoongrade::platform

#endif // MONSOONGRADE_TESTS_PLATFORM_CANNEDCLIENT_H
