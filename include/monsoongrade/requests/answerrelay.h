#ifndef MONSOONGRADE_REQUESTS_ANSWERRELAY_H
#define MONSOONGRADE_REQUESTS_ANSWERRELAY_H

#include <monsoongrade/http/httpresponder.h>
#include <monsoongrade/httpio/sseeventbuffer.h>
#include <monsoongrade/requests/refusal.h>
#include <monsoongrade/requests/streamscanner.h>

#include <functional>
#include <memory>
#include <string>

namespace monsoongrade::requests {

// Passes one answer on to its caller while it comes in, over as many calls as it takes: events
// whole and counted, anything else as it is. Knows how much the caller has still to read. Not
// thread-safe; its flow's lock guards it.
class AnswerRelay
{
public:
    // An answer that is shared is kept for others, so no slow caller holds it back.
    AnswerRelay(http::HttpResponder &responder, bool isShared);

    // left(bytes) is told, from another thread, how much has left for the caller.
    void onLeft(std::function<void(std::size_t)> left) { left_ = std::move(left); }
    // From here on nothing more is written.
    void callerGone() { callerGone_ = true; }

    bool hasBegun() const { return begun_; }
    // True once an answer has begun that is a stream of events.
    bool passesEvents() const { return passesEvents_; }
    void begin(int status, http::Headers headers, bool isEventStream);
    // Bytes of the answer; begin() comes first.
    void take(std::string_view bytes);
    // The piece behind the last event's end belongs to the answer after all.
    void takePartialEvent();
    // The call broke off within an event: the piece of it is dropped.
    void discardPartialEvent() { events_.discardPartialEvent(); }

    // False while the caller has a piece of an unfinished event.
    bool isAtEventBoundary() const { return events_.isAtEventBoundary(); }
    // The stream's closing marker was passed on.
    bool isClosed() const { return scanner_.isClosed(); }
    std::int64_t events() const { return scanner_.events(); }

    // True while so much waits for a slow caller that the endpoint should not be read.
    bool isFull() const;
    // Counts bytes as read by the caller; returns true once there is room again.
    bool makeRoom(std::size_t bytes);

    void end() { responder_.end(); }
    // Ends an answer that has begun as not whole, with an error event where one can be told from
    // the answer's own bytes and by breaking the connection elsewhere.
    void breakOff(const Refusal &refusal);

private:
    void write(std::string bytes);

    http::HttpResponder &responder_;
    const bool isShared_;
    std::function<void(std::size_t)> left_;
    httpio::SseEventBuffer events_;
    StreamScanner scanner_;
    bool begun_ = false;
    bool passesEvents_ = false;
    bool callerGone_ = false;
    std::size_t bytesWaiting_ = 0;
};

} // namespace monsoongrade::requests

#endif // MONSOONGRADE_REQUESTS_ANSWERRELAY_H
