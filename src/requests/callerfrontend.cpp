#include <monsoongrade/requests/callerfrontend.h>

#include <monsoongrade/requests/classifier.h>

namespace monsoongrade::requests {

namespace {

using units::Error;
using units::ResultCode;

constexpr auto RetryAfterFull = std::chrono::seconds(2);
const http::Headers JsonHeaders{{"Content-Type", "application/json"}};
const http::Headers TextHeaders{{"Content-Type", "text/plain; version=0.0.4"}};

} // namespace

CallerFrontend::CallerFrontend(const FlowServices &services,
                               configuration::ConfigurationHolder &holder, std::size_t openLimit,
                               std::function<std::string()> entryPoints)
    : services_(services)
    , holder_(holder)
    , openLimit_(openLimit)
    , entryPoints_(std::move(entryPoints))
{
}

void CallerFrontend::handle(const http::HttpRequest &request,
                            std::shared_ptr<http::HttpResponder> responder)
{
    if (!answerOwnPath(request, *responder))
        route(request, std::move(responder));
}

bool CallerFrontend::answerOwnPath(const http::HttpRequest &request, http::HttpResponder &responder)
{
    if (request.path == "/healthz") {
        responder.answer(200, TextHeaders, "ok\n");
    } else if (request.path == "/readyz") {
        const bool ready = !leaving_ && holder_.current() != nullptr;
        responder.answer(ready ? 200 : 503, TextHeaders, ready ? "ready\n" : "not ready\n");
    } else if (request.path == "/metrics") {
        responder.answer(200, TextHeaders, metricsPage());
    } else if (request.path == "/v1/entry-points") {
        responder.answer(200, JsonHeaders, entryPoints_());
    } else {
        return false;
    }
    return true;
}

std::string CallerFrontend::metricsPage()
{
    services_.metrics.set("monsoongrade_requests_open", {}, static_cast<double>(flows_.open()));
    return services_.metrics.exposition();
}

void CallerFrontend::route(const http::HttpRequest &request,
                           std::shared_ptr<http::HttpResponder> responder)
{
    const units::RequestId id = nextRequestId();
    auto configuration = holder_.current();
    if (!configuration) {
        refuseUnclassified(*responder, id,
                           {ResultCode::NoConfiguration, "this router has no configuration yet"},
                           RetryAfterFull);
        return;
    }
    if (!flows_.tryReserve(openLimit_)) {
        refuseUnclassified(*responder, id,
                           {ResultCode::TooManyRequestsOpen, "this router is full; use another"},
                           RetryAfterFull);
        return;
    }
    const bool started = units::orElse(
        [&]() -> units::Result<bool> {
            BOOST_LEAF_AUTO(classified, classify(request, id, configuration));
            const auto flow = std::make_shared<RequestFlow>(
                services_, std::move(classified), responder, [this, id] { flows_.remove(id); });
            flows_.add(id, flow);
            flow->start();
            return true;
        },
        [&](const Error &error) {
            refuseUnclassified(*responder, id, error, {});
            return false;
        });
    if (!started)
        flows_.unreserve();
}

void CallerFrontend::refuseUnclassified(http::HttpResponder &responder, const units::RequestId &id,
                                        const Error &error, units::Duration retryAfter)
{
    services_.metrics.add(
        "monsoongrade_requests_unclassified_total",
        observability::label("reason", std::string(units::resultCodeName(error.code))));
    services_.decisions.add(
        {id, services_.clock.now(), DecisionKind::Refused, error.code, error.message});
    sendRefusal(responder, {id, error, RunState::NotRun, retryAfter});
}

units::RequestId CallerFrontend::nextRequestId()
{
    return units::RequestId(services_.self.value() + "-" + std::to_string(nextNumber_++));
}

} // namespace monsoongrade::requests
