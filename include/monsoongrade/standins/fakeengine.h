#ifndef MONSOONGRADE_STANDINS_FAKEENGINE_H
#define MONSOONGRADE_STANDINS_FAKEENGINE_H

#include <monsoongrade/http/httpresponder.h>

#include <memory>

namespace monsoongrade::standins {

struct FakeEngineSettings
{
    int slots = 8;
    // Tokens a second of one stream while it runs alone.
    double tokensPerSecond = 50;
    // With n streams at once each runs at tokensPerSecond / (1 + batchCost * (n - 1)).
    double batchCost = 0.05;
    // Time to read one byte of a prompt that is not cached, in microseconds.
    double prefillMicrosPerByte = 20;
    std::size_t cachedPrefixes = 32;
};

// Stands in for a model engine and for a plain service.
//
//   POST /v1/chat/completions, /v1/completions   metadata.answer_tokens gives the length
//   POST any other path   a plain service's call; counted as a run, answered at once
//   GET  /load            running, waiting, tokens per second, draining
//   GET  /runs            per request id and idempotency key: begun, ended, cancelled
//   PUT  /admin/switches  {"slow":factor,"freeze":bool,"crash_after_tokens":n,"refuse":bool,
//                          "reset":"before"|"after"|"","draining":bool,"load_lag_ms":n}
class FakeEngine
{
public:
    explicit FakeEngine(const FakeEngineSettings &settings);
    ~FakeEngine();

    void handle(const http::HttpRequest &request, std::shared_ptr<http::HttpResponder> responder);

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace monsoongrade::standins

#endif // MONSOONGRADE_STANDINS_FAKEENGINE_H
