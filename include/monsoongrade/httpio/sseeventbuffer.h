#ifndef MONSOONGRADE_HTTPIO_SSEEVENTBUFFER_H
#define MONSOONGRADE_HTTPIO_SSEEVENTBUFFER_H

#include <string>
#include <string_view>

namespace monsoongrade::httpio {

// Splits a stream of server-sent events at the ends of events. A caller receives complete events
// only: after part of an event, it could not tell a final error event, or the continuation from
// another endpoint, from the rest of that event.
class SseEventBuffer
{
public:
    // Adds bytes and returns the complete events; the rest is kept for the next call. An event
    // over the size limit is passed on in parts.
    std::string feed(std::string_view bytes);
    // Returns the buffered part of an incomplete event and clears the buffer.
    std::string takePartialEvent();
    bool hasPartialEvent() const { return !buffer_.empty(); }
    std::size_t partialBytes() const { return buffer_.size(); }
    // Discards the part of an event that an endpoint did not complete.
    void discardPartialEvent() { buffer_.clear(); }
    // False while the caller has received part of an incomplete event.
    bool isAtEventBoundary() const { return !insideOversized_; }

private:
    std::string buffer_;
    bool insideOversized_ = false;
};

} // namespace monsoongrade::httpio

#endif // MONSOONGRADE_HTTPIO_SSEEVENTBUFFER_H
