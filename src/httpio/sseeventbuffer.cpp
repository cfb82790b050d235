#include <monsoongrade/httpio/sseeventbuffer.h>

#include <algorithm>
#include <utility>

namespace monsoongrade::httpio {

namespace {

constexpr std::size_t MaxEventKept = 256 * 1024;

// Length up to and with the last blank line; 0 where there is none.
std::size_t lengthOfWholeEvents(const std::string &bytes)
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
    rest_.append(bytes);
    const std::size_t length = lengthOfWholeEvents(rest_);
    if (length == 0 && rest_.size() > MaxEventKept) {
        insideOversized_ = true;
        // The last bytes may be the first half of the blank line.
        const std::string kept = rest_.substr(rest_.size() - 2);
        rest_.resize(rest_.size() - 2);
        return std::exchange(rest_, kept);
    }
    if (length > 0)
        insideOversized_ = false;
    std::string whole = rest_.substr(0, length);
    rest_.erase(0, length);
    return whole;
}

std::string SseEventBuffer::takePartialEvent()
{
    return std::exchange(rest_, {});
}

} // namespace monsoongrade::httpio
