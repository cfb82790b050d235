#ifndef MONSOONGRADE_STANDINS_FAKEENGINE_H
#define MONSOONGRADE_STANDINS_FAKEENGINE_H

#include <monsoongrade/http/httpresponder.h>

#include <functional>
#include <memory>
#include <string>

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
    // Continues an answer after the number of events that the header resume-offset gives, and says
    // so by the same header in its answer. Without it the header is not understood, as on an
    // engine that doesn't know it.
    bool canResume = false;
    // How many request ids and keys /runs remembers.
    std::size_t mostRunsKept = 100000;
    // Each run's begin and end is appended here; empty is no file.
    std::string journalPath;
    // Called after a crash has broken all streams; may end the process.
    std::function<void()> onCrash;
};

// Stands in for a model engine and for a plain service.
//
//   POST /v1/chat/completions, /v1/completions   metadata.answer_tokens gives the length; the
//        header priority orders those that wait, the lower number first, then by arrival
//   any other path   a plain service's call; its effect is the count in /runs
//   GET  /load       running, waiting, slots, tokens_per_second, draining, as old as load_lag_ms
//   GET  /runs       per request id and idempotency key: begun, ended, cancelled, broken,
//                    resumed, the answer's hash; and what /totals gives
//   GET  /totals     incarnation, runs, tokens made, and of these in answers that ended and in
//                    those that callers left
//   PUT  /admin/switches  {"slow":factor,"freeze":bool,"crash":true,"crash_after_tokens":n,
//                          "refuse":bool,"reset":"before"|"after"|"","reset_next":n,
//                          "draining":bool,"load_lag_ms":n}
//        reset_next limits the reset to the next n requests
class FakeEngine
{
public:
    // Throws std::runtime_error where the journal can't be opened.
    explicit FakeEngine(const FakeEngineSettings &settings);
    ~FakeEngine();

    void handle(const http::HttpRequest &request, std::shared_ptr<http::HttpResponder> responder);

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace monsoongrade::standins

#endif // MONSOONGRADE_STANDINS_FAKEENGINE_H
