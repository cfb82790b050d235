#ifndef MONSOONGRADE_REQUESTS_CALLERFRONTEND_H
#define MONSOONGRADE_REQUESTS_CALLERFRONTEND_H

#include <monsoongrade/configuration/configurationholder.h>
#include <monsoongrade/http/httpresponder.h>
#include <monsoongrade/requests/flowservices.h>
#include <monsoongrade/requests/keyedrequests.h>
#include <monsoongrade/requests/openrequests.h>

#include <atomic>
#include <functional>
#include <memory>
#include <string>

namespace monsoongrade::requests {

// Answers callers: health, metrics, which addresses to use, and every other path as a request
// to be routed.
class CallerFrontend
{
public:
    // entryPoints gives the JSON answer to /v1/entry-points.
    CallerFrontend(const FlowServices &services, KeyedRequests &keyed,
                   configuration::ConfigurationHolder &holder, std::size_t openLimit,
                   std::function<std::string()> entryPoints);

    void handle(const http::HttpRequest &request, std::shared_ptr<http::HttpResponder> responder);

    // Refuses what the server did not hand over because it is over one of its limits.
    void refuseUnread(const units::Error &error, http::HttpResponder &responder);

    // From now on /readyz says no; requests are served as before.
    void startLeaving() { leaving_ = true; }
    bool isLeaving() const { return leaving_; }
    // It has a configuration and is not leaving.
    bool isReady() const { return !leaving_ && holder_.current() != nullptr; }
    // All metrics in the text exposition format.
    std::string metricsPage();
    std::size_t open() const { return open_.total(); }

private:
    void issueKey(const http::HttpRequest &request, http::HttpResponder &responder);
    bool answerOwnPath(const http::HttpRequest &request, http::HttpResponder &responder);
    void route(const http::HttpRequest &request, std::shared_ptr<http::HttpResponder> responder);
    void begin(ClassifiedRequest classified, std::shared_ptr<http::HttpResponder> responder);
    void refuseUnclassified(http::HttpResponder &responder, const units::RequestId &id,
                            const units::Error &error, units::Duration shortestRetryAfter);
    units::RequestId nextRequestId();

    const FlowServices &services_;
    KeyedRequests &keyed_;
    configuration::ConfigurationHolder &holder_;
    std::function<std::string()> entryPoints_;
    OpenRequests open_;
    std::atomic<std::uint64_t> nextNumber_{1};
    std::atomic<bool> leaving_{false};
};

} // namespace monsoongrade::requests

#endif // MONSOONGRADE_REQUESTS_CALLERFRONTEND_H
