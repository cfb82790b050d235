#ifndef MONSOONGRADE_GATEWAY_EVENTRELAY_H
#define MONSOONGRADE_GATEWAY_EVENTRELAY_H

#include <monsoongrade/httpio/sseeventbuffer.h>
#include <monsoongrade/units/clock.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace monsoongrade::gateway {

// The events of one client's stream, which may come from several endpoints in turn. Passes whole
// events only: after half an event, a continuation from another endpoint could not be joined.
class EventRelay
{
public:
    // Bytes from the endpoint; returns what the client gets now. After a resume, events that the
    // client has already are left out.
    std::string take(std::string_view bytes, units::TimePoint now);
    // The stream ended in order: what is left of an unfinished event.
    std::string takePartialEvent() { return events_.takePartialEvent(); }
    bool hasPartialEvent() const { return events_.hasPartialEvent(); }
    // The endpoint broke off; another one goes on after lastId().
    void resume();
    // Id of the last whole event that the client got; empty before the first.
    const std::string &lastId() const { return lastId_; }
    // An event after a resume does not follow the last one: something is missing.
    bool hasGap() const { return hasGap_; }
    // When the client's first event was ready; nothing before it.
    std::optional<units::TimePoint> firstEventAt() const { return firstEventAt_; }
    // The longest pause between two events so far, in which the endpoint made nothing or nothing
    // arrived here; zero with fewer than two.
    units::Duration longestPause() const { return longestPause_; }

private:
    std::string withoutKnown(const std::string &whole);

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
