#ifndef MONSOONGRADE_SOAK_STREAMCHAIN_H
#define MONSOONGRADE_SOAK_STREAMCHAIN_H

#include "caller.h"

#include <chrono>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace monsoongrade::soak {

// An event as the endpoints of a run write them. number: 0 if the event is not such a one.
struct StreamEvent
{
    int number = 0;
    std::string version; // of the endpoint's software
};

// The whole events of the body; a part of an event at its end is left out.
std::vector<StreamEvent> wholeEvents(const std::string &body);

// The next attempt of a stream that broke off, to be sent after a delay.
struct Resumption
{
    CallRecord next;
    std::chrono::milliseconds delay{};
};

// How the caller of the ended attempt resumes its stream as the platform's clients do: with the
// attempt that brought the first event and the last whole event, a few times, within the time of
// the stream, and after the asked pause. Some come back later than asked. Nothing if it does not.
std::optional<Resumption> resumptionOf(const CallRecord &ended, std::mt19937 &random);

} // namespace monsoongrade::soak

#endif // MONSOONGRADE_SOAK_STREAMCHAIN_H
