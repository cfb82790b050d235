#ifndef MONSOONGRADE_HTTPIO_SSEEVENTBUFFER_H
#define MONSOONGRADE_HTTPIO_SSEEVENTBUFFER_H

#include <string>
#include <string_view>

namespace monsoongrade::httpio {

// Cuts a stream of server-sent events at the ends of events. A caller is given whole events
// only: behind a piece of one, neither the closing error event nor the continuation from another
// endpoint could be told from the piece's own bytes.
class SseEventBuffer
{
public:
    // The bytes up to the last end of an event; the rest is kept for the next call. An event
    // beyond the limit is passed on in pieces.
    std::string feed(std::string_view bytes);
    // What is kept of an unfinished event; kept no more.
    std::string takePartialEvent();
    bool hasPartialEvent() const { return !rest_.empty(); }
    // Forgets the piece of an event that an endpoint broke off in.
    void discardPartialEvent() { rest_.clear(); }
    // False while the caller has a piece of an unfinished event.
    bool isAtEventBoundary() const { return !insideOversized_; }

private:
    std::string rest_;
    bool insideOversized_ = false;
};

} // namespace monsoongrade::httpio

#endif // MONSOONGRADE_HTTPIO_SSEEVENTBUFFER_H
