#include <monsoongrade/httpio/sseeventbuffer.h>

#include <algorithm>
#include <utility>

namespace monsoongrade::httpio {

namespace {

constexpr std::size_t MaxEventBytes = 256 * 1024;

// Returns the length up to and including the last blank line; 0 if there is none.
std::size_t completeEventsLength(const std::string &bytes)
{
    std::size_t length = 0;
    for (const std::string_view blank : {"\n\n", "\n\r\n"}) {
        const std::size_t at = bytes.rfind(blank);
        if (at != std::string::npos)
            length = std::max(length, at + blank.size());
    }
    return length;
}

} // namespace

std::string SseEventBuffer::feed(std::string_view bytes)
{
    buffer_.append(bytes);
    const std::size_t length = completeEventsLength(buffer_);
    if (length == 0 && buffer_.size() > MaxEventBytes) {
        insideOversized_ = true;
        // The last two bytes may be the start of the blank line.
        const std::string kept = buffer_.substr(buffer_.size() - 2);
        buffer_.resize(buffer_.size() - 2);
        return std::exchange(buffer_, kept);
    }
    if (length > 0)
        insideOversized_ = false;
    std::string events = buffer_.substr(0, length);
    buffer_.erase(0, length);
    return events;
}

std::string SseEventBuffer::takePartialEvent()
{
    return std::exchange(buffer_, {});
}

} // namespace monsoongrade::httpio
