#include <monsoongrade/daemon/operatorservice.h>

#include <monsoongrade/units/error.h>
#include <monsoongrade/units/secrets.h>

namespace monsoongrade::daemon {

namespace {

const http::Headers TextHeaders{{"Content-Type", "text/plain; version=0.0.4"}};
const http::Headers JsonHeaders{{"Content-Type", "application/json"}};

} // namespace

OperatorService::OperatorService(std::string token, std::function<bool()> isReady)
    : token_(std::move(token))
    , isReady_(std::move(isReady))
{
}

void OperatorService::addPage(const std::string &path, Page page)
{
    pages_[path] = std::move(page);
}

void OperatorService::handle(const http::HttpRequest &request, http::HttpResponder &responder) const
{
    if (answerOpenPath(request.path, responder))
        return;
    if (!isAllowed(request)) {
        responder.answer(401, TextHeaders,
                         units::describe({units::ResultCode::OperatorTokenRefused,
                                          "give this daemon's operator-token as a bearer token"})
                             + "\n");
        return;
    }
    const auto page = pages_.find(request.path);
    if (page == pages_.end()) {
        responder.answer(404, TextHeaders,
                         units::describe({units::ResultCode::NoSuchPath, "no such page here"})
                             + "\n");
        return;
    }
    std::string body = page->second(request.query);
    const bool isJson = !body.empty() && body.front() == '{';
    responder.answer(200, isJson ? JsonHeaders : TextHeaders, std::move(body));
}

bool OperatorService::answerOpenPath(const std::string &path, http::HttpResponder &responder) const
{
    if (path == "/healthz") {
        responder.answer(200, TextHeaders, "ok\n");
    } else if (path == "/readyz") {
        const bool ready = isReady_();
        responder.answer(ready ? 200 : 503, TextHeaders, ready ? "ready\n" : "not ready\n");
    } else {
        return false;
    }
    return true;
}

bool OperatorService::isAllowed(const http::HttpRequest &request) const
{
    const std::string token = units::bearerToken(request.header("authorization"));
    return !token_.empty() && units::equalInConstantTime(token_, token);
}

} // namespace monsoongrade::daemon
