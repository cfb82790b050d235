#ifndef MONSOONGRADE_ROUTING_QUEUEING_WAITFORECAST_H
#define MONSOONGRADE_ROUTING_QUEUEING_WAITFORECAST_H

#include <monsoongrade/units/clock.h>

#include <cstdint>

namespace monsoongrade::routing::queueing {

// Queued prefill tokens ahead of a request.
struct TokensAhead
{
    std::int64_t onTime = 0; // of requests that can still meet their target
    std::int64_t late = 0; // of those that can no longer meet it
};

enum class WaitDecision : std::uint8_t {
    Wait,
    Refuse, // with the time after which to retry
};

struct WaitForecast
{
    WaitDecision decision = WaitDecision::Wait;
    units::Duration retryDelay{};
    // Until the requests ahead that can be on time have drained. Late ones go behind scheduled
    // retries, so a reservation does not wait for them.
    units::Duration onTimeWait{};
    double tokensPerMs = 0; // rate at which the queue is expected to drain
};

// Whether a request that is placed after this time can have its first event by its target.
bool canBeOnTime(units::Duration wait, units::Duration targetIn);
// Whether a late response after this wait is of use to a client that gives up at expiresIn.
bool isUsefulLate(units::Duration wait, units::Duration expiresIn);

// Predicts how long a request with a long prefill waits for an endpoint, from the tokens ahead of
// it and the rate at which the queue drains, and decides whether to queue it.
//
// Needed for bursts of uncached prompts, which arrive faster than they can be prefilled. Without
// admission control, callers wait until they time out; refused at once, they can retry when prompts
// are cached.
class WaitForecaster
{
public:
    // Requests with this many prefill tokens were moved from the queue to endpoints.
    void onDrained(std::int64_t tokens, units::TimePoint now);
    // The queue is empty, so the drain rate can't be measured.
    void onQueueEmpty() { windowStart_ = {}; }

    // targetIn, expiresIn: time until the first event is due and until the client gives up.
    // endpoints: the number that serve the queue. tokensPerMs: prefill rate of one. The request's
    // own size is ignored: otherwise an overload would refuse long prompts in favor of short ones.
    WaitForecast forecast(const TokensAhead &ahead, units::Duration targetIn,
                          units::Duration expiresIn, std::size_t endpoints,
                          double tokensPerMs) const;

private:
    double drainRate(std::size_t endpoints, double tokensPerMs) const;

    units::TimePoint windowStart_{};
    std::int64_t windowTokens_ = 0;
    double measuredRate_ = 0; // tokens per millisecond; 0: not measured yet
};

} // namespace monsoongrade::routing::queueing

#endif // MONSOONGRADE_ROUTING_QUEUEING_WAITFORECAST_H
