#include <monsoongrade/requests/callerfrontend.h>

#include <requests/internal/spreadretry.h>

#include <monsoongrade/requests/classifier.h>
#include <monsoongrade/requests/requestflow.h>

#include <nlohmann/json.hpp>

namespace monsoongrade::requests {

namespace {

using units::Error;
using units::ResultCode;

constexpr auto MinRetryAfter = std::chrono::seconds(2);
const http::Headers JsonHeaders{{"Content-Type", "application/json"}};
const http::Headers TextHeaders{{"Content-Type", "text/plain; version=0.0.4"}};

} // namespace

CallerFrontend::CallerFrontend(const FlowServices &services, KeyedRequests &keyed,
                               configuration::ConfigurationHolder &holder, std::size_t openLimit,
                               std::function<std::string()> entryPoints)
    : services_(services)
    , keyed_(keyed)
    , holder_(holder)
    , entryPoints_(std::move(entryPoints))
    , open_(openLimit)
{
}

void CallerFrontend::handle(const http::HttpRequest &request,
                            std::shared_ptr<http::HttpResponder> responder)
{
    if (!answerOwnPath(request, *responder))
        route(request, std::move(responder));
}

void CallerFrontend::refuseUnread(const Error &error, http::HttpResponder &responder)
{
    refuseUnclassified(responder, nextRequestId(), error, {});
}

bool CallerFrontend::answerOwnPath(const http::HttpRequest &request, http::HttpResponder &responder)
{
    if (request.path == "/healthz") {
        responder.answer(200, TextHeaders, "ok\n");
    } else if (request.path == "/readyz") {
        const bool ready = isReady();
        responder.answer(ready ? 200 : 503, TextHeaders, ready ? "ready\n" : "not ready\n");
    } else if (request.path == "/v1/entry-points") {
        responder.answer(200, JsonHeaders, entryPoints_());
    } else if (request.path == "/v1/idempotency-keys" && request.method == "POST") {
        issueKey(request, responder);
    } else {
        return false;
    }
    return true;
}

void CallerFrontend::route(const http::HttpRequest &request,
                           std::shared_ptr<http::HttpResponder> responder)
{
    const units::RequestId id = nextRequestId();
    auto configuration = holder_.current();
    if (!configuration) {
        refuseUnclassified(*responder, id,
                           {ResultCode::NoConfiguration, "this router has no configuration yet"},
                           MinRetryAfter);
        return;
    }
    // Looked at before the body is read, which costs most of what can be spared here.
    if (open_.isFull()) {
        refuseUnclassified(*responder, id,
                           {ResultCode::TooManyRequestsOpen,
                            "this router has as many requests open as it may; use another"},
                           MinRetryAfter);
        return;
    }
    auto classified
        = units::capture([&] { return classify(request, id, std::move(configuration)); });
    if (classified.value)
        begin(std::move(*classified.value), std::move(responder));
    else
        refuseUnclassified(*responder, id, classified.error, {});
}

void CallerFrontend::begin(ClassifiedRequest classified,
                           std::shared_ptr<http::HttpResponder> responder)
{
    auto ticket = units::capture([&] { return open_.open(classified); });
    RequestAccount account(services_, classified, ticket.value.value_or(nullptr));
    account.accept();
    if (!ticket.value) {
        sendRefusal(*responder,
                    {classified.id, ticket.error, RunState::NotRun,
                     internal::spreadRetry(MinRetryAfter, classified.id)});
        account.refuse(ticket.error.code, ticket.error.message);
        return;
    }
    if (classified.run == configuration::RunRule::AtMostOnce
        && !classified.idempotencyKey.isEmpty()) {
        ticket.value.reset();
        keyed_.handle(std::move(classified), std::move(account), responder);
        return;
    }
    std::make_shared<RequestFlow>(services_, std::move(classified), std::move(account),
                                  std::move(responder), [](const FlowEnd &) {})
        ->start();
}

void CallerFrontend::issueKey(const http::HttpRequest &request, http::HttpResponder &responder)
{
    const auto configuration = holder_.current();
    if (!configuration) {
        refuseUnclassified(responder, nextRequestId(),
                           {ResultCode::NoConfiguration, "this router has no configuration yet"},
                           MinRetryAfter);
        return;
    }
    const auto workspace = units::capture([&] { return workspaceOf(request, *configuration); });
    if (!workspace.value) {
        refuseUnclassified(responder, nextRequestId(), workspace.error, {});
        return;
    }
    services_.metrics.add("monsoongrade_keys_issued_total");
    const auto lifetime
        = std::chrono::duration_cast<std::chrono::seconds>(KeyedRequests::KeyLifetime);
    responder.answer(200, JsonHeaders,
                     nlohmann::json{{"idempotency_key", keyed_.issue().value()},
                                    {"router", services_.self.value()},
                                    {"first_use_within_seconds", lifetime.count()}}
                         .dump());
}

std::string CallerFrontend::metricsPage()
{
    services_.metrics.set("monsoongrade_requests_open", {}, static_cast<double>(open_.total()));
    for (const auto &[className, count] : open_.byClass())
        services_.metrics.set("monsoongrade_requests_in_flight",
                              observability::label("class", className.value()),
                              static_cast<double>(count));
    return services_.metrics.exposition();
}

void CallerFrontend::refuseUnclassified(http::HttpResponder &responder, const units::RequestId &id,
                                        const Error &error, units::Duration shortestRetryAfter)
{
    services_.metrics.add(
        "monsoongrade_requests_unclassified_total",
        observability::label("reason", std::string(units::resultCodeName(error.code))));
    services_.decisions.add(
        {id, services_.clock.now(), DecisionKind::Refused, error.code, error.message});
    sendRefusal(responder,
                {id, error, RunState::NotRun, internal::spreadRetry(shortestRetryAfter, id)});
}

units::RequestId CallerFrontend::nextRequestId()
{
    return units::RequestId(services_.self.value() + "-" + std::to_string(nextNumber_++));
}

} // namespace monsoongrade::requests
