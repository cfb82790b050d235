#include "operatorpage.h"

using monsoongrade::http::Headers;

namespace {

const Headers TextHeaders{{"Content-Type", "text/plain; version=0.0.4"}};

} // namespace

void OperatorPage::handle(const monsoongrade::http::HttpRequest &request,
                          monsoongrade::http::HttpResponder &responder) const
{
    if (request.path == "/metrics")
        responder.answer(200, TextHeaders, metrics_.exposition());
    else if (request.path == "/healthz")
        responder.answer(200, TextHeaders, "ok\n");
    else if (request.path == "/readyz")
        responder.answer(leaving_ ? 503 : 200, TextHeaders, leaving_ ? "leaving\n" : "ready\n");
    else
        responder.answer(404, TextHeaders, "no such path\n");
}
