#ifndef MONSOONGRADE_ROUTING_WAITFORECAST_H
#define MONSOONGRADE_ROUTING_WAITFORECAST_H

#include <monsoongrade/units/clock.h>

#include <cstdint>

namespace monsoongrade::routing {

// Prompt tokens that wait to be read before those of a request.
struct TokensAhead
{
    std::int64_t onTime = 0; // of requests that can still meet their target
    std::int64_t late = 0; // of those that can't
};

enum class WaitDecision : std::uint8_t {
    Wait,
    Refuse, // with the time after which to come back
};

struct WaitForecast
{
    WaitDecision decision = WaitDecision::Wait;
    units::Duration retryDelay{};
};

// Predicts how long a request with a long read waits for an endpoint, from the tokens that go
// before it and the rate at which the queue drains, and decides whether it may.
//
// The load it answers: a burst in which all prompts are cold, so that requests arrive faster than
// they can be read. Without it, callers wait until they give up, without a word; told at once, one
// can come back when prompts are cached.
class WaitForecaster
{
public:
    // Requests left the queue for endpoints, which read this many tokens for them.
    void drained(std::int64_t tokens, units::TimePoint now);
    // The queue is empty: the rate is not known by it any more.
    void idle() { windowStart_ = {}; }

    // targetIn, expiresIn: until the first event of the request is due and until its client leaves.
    // endpoints: those that read for the queue. tokensPerMs: what one of them reads. The request's
    // own size is no input, or an overload would refuse the longest prompts and serve the short.
    WaitForecast forecast(const TokensAhead &ahead, units::Duration targetIn,
                          units::Duration expiresIn, std::size_t endpoints,
                          double tokensPerMs) const;

private:
    double drainRate(std::size_t endpoints, double tokensPerMs) const;

    units::TimePoint windowStart_{};
    std::int64_t inWindow_ = 0;
    double measured_ = 0; // tokens a millisecond; 0: nothing measured yet
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_WAITFORECAST_H
