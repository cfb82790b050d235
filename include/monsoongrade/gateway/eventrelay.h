#ifndef MONSOONGRADE_GATEWAY_EVENTRELAY_H
#define MONSOONGRADE_GATEWAY_EVENTRELAY_H

#include <monsoongrade/httpio/sseeventbuffer.h>
#include <monsoongrade/units/clock.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace monsoongrade::gateway {

// Relays the server-sent events of one client's stream, which may come from several endpoints in
// turn. Passes on complete events only, because a stream from another endpoint could not continue
// in the middle of an event.
class EventRelay
{
public:
    // Adds bytes received from the endpoint and returns the events to send to the client now. After
    // a resume, omits events that the client already has.
    std::string feed(std::string_view bytes, units::TimePoint now);
    // True if an event is longer than any that an endpoint sends. Nothing of it is returned.
    bool hasOversizedEvent() const { return !events_.isAtEventBoundary(); }
    // Bytes of the incomplete last event.
    std::size_t partialBytes() const { return events_.partialBytes(); }
    // After a regular end of the stream: returns the incomplete last event.
    std::string takePartialEvent() { return events_.takePartialEvent(); }
    bool hasPartialEvent() const { return events_.hasPartialEvent(); }
    // The stream failed and another endpoint continues it after lastId().
    void resume();
    // Id of the last complete event sent to the client; empty before the first.
    const std::string &lastId() const { return lastId_; }
    // True if the first event after a resume did not follow the last one, so events are missing.
    bool hasGap() const { return hasGap_; }
    // When the first event was ready for the client.
    std::optional<units::TimePoint> firstEventAt() const { return firstEventAt_; }
    // The longest time between two successive events so far, whether due to the endpoint or the
    // network; zero with fewer than two events.
    units::Duration longestPause() const { return longestPause_; }

private:
    std::string removeKnownEvents(const std::string &whole);

    httpio::SseEventBuffer events_;
    std::string lastId_;
    std::int64_t lastNumber_ = 0;
    std::int64_t step_ = 1;
    bool checkingResume_ = false;
    bool hasGap_ = false;
    std::optional<units::TimePoint> firstEventAt_;
    units::TimePoint lastEventAt_{};
    units::Duration longestPause_{};
};

} // namespace monsoongrade::gateway

#endif // MONSOONGRADE_GATEWAY_EVENTRELAY_H
