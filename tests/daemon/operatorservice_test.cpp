#include <monsoongrade/daemon/operatorservice.h>

#include <doctest/doctest.h>

namespace monsoongrade::daemon {

namespace {

class RecordingResponder : public http::HttpResponder
{
public:
    void answer(int status, http::Headers, std::string body) override
    {
        lastStatus = status;
        lastBody = std::move(body);
    }
    void begin(int, http::Headers) override { }
    void write(std::string, std::function<void(std::size_t)>) override { }
    void end() override { }
    void abort() override { }
    void onGone(std::function<void()>) override { }

    int lastStatus = 0;
    std::string lastBody;
};

int statusOf(const OperatorService &service, const std::string &path,
             const std::string &authorization)
{
    http::HttpRequest request;
    request.path = path;
    request.headers = {{"authorization", authorization}};
    RecordingResponder responder;
    service.handle(request, responder);
    return responder.lastStatus;
}

} // namespace

TEST_CASE("OperatorService.PagesNeedTheToken")
{
    bool ready = true;
    OperatorService service("secret", [&ready] { return ready; });
    service.addPage("/page", [](const std::string &) { return "text"; });
    CHECK(statusOf(service, "/page", "Bearer secret") == 200);
    CHECK(statusOf(service, "/page", "Bearer secreT") == 401);
    CHECK(statusOf(service, "/page", "Bearer secret2") == 401);
    CHECK(statusOf(service, "/page", "") == 401);
    CHECK(statusOf(service, "/other", "Bearer secret") == 404);
    CHECK(statusOf(service, "/healthz", "") == 200);
    CHECK(statusOf(service, "/readyz", "") == 200);
    ready = false;
    CHECK(statusOf(service, "/readyz", "") == 503);
    CHECK(statusOf(service, "/healthz", "") == 200);
}

// With no token set, an empty bearer token must not open the pages.
TEST_CASE("OperatorService.EmptyTokenTurnsPagesOff")
{
    OperatorService service("", [] { return true; });
    service.addPage("/page", [](const std::string &) { return "text"; });
    CHECK(statusOf(service, "/page", "Bearer ") == 401);
}

} // namespace monsoongrade::daemon
