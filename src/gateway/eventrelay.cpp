#include <monsoongrade/gateway/eventrelay.h>

#include <algorithm>
#include <charconv>

namespace monsoongrade::gateway {

namespace {

// Returns the value of the event's "id:" line, or an empty string.
std::string_view idOf(std::string_view event)
{
    std::size_t at = 0;
    while (at < event.size()) {
        const std::size_t end = std::min(event.find('\n', at), event.size());
        std::string_view line = event.substr(at, end - at);
        if (line.substr(0, 3) == "id:") {
            line.remove_prefix(3);
            while (!line.empty() && line.front() == ' ')
                line.remove_prefix(1);
            while (!line.empty() && (line.back() == '\r' || line.back() == ' '))
                line.remove_suffix(1);
            return line;
        }
        at = end + 1;
    }
    return {};
}

std::optional<std::int64_t> parseNumber(std::string_view text)
{
    std::int64_t number = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size())
        return std::nullopt;
    return number;
}

std::size_t endOfEvent(std::string_view events)
{
    const std::size_t plain = events.find("\n\n");
    const std::size_t withReturns = events.find("\n\r\n");
    if (plain < withReturns)
        return plain + 2;
    return withReturns == std::string_view::npos ? events.size() : withReturns + 3;
}

} // namespace

std::string EventRelay::feed(std::string_view bytes, units::TimePoint now)
{
    const std::string whole = events_.feed(bytes);
    if (hasOversizedEvent())
        return {};
    std::string passed = removeKnownEvents(whole);
    if (passed.empty())
        return passed;
    if (firstEventAt_)
        longestPause_ = std::max(longestPause_, now - lastEventAt_);
    else
        firstEventAt_ = now;
    lastEventAt_ = now;
    return passed;
}

void EventRelay::resume()
{
    events_ = {};
    checkingResume_ = !lastId_.empty();
}

std::string EventRelay::removeKnownEvents(const std::string &whole)
{
    std::string passed;
    std::string_view left = whole;
    while (!left.empty()) {
        const std::string_view event = left.substr(0, endOfEvent(left));
        left.remove_prefix(event.size());
        const std::string_view id = idOf(event);
        const std::optional<std::int64_t> number = parseNumber(id);
        if (number && !lastId_.empty() && *number <= lastNumber_)
            continue; // the client already has it
        if (checkingResume_ && number) {
            hasGap_ = hasGap_ || *number != lastNumber_ + step_;
            checkingResume_ = false;
        }
        if (number) {
            if (!lastId_.empty())
                step_ = *number - lastNumber_;
            lastNumber_ = *number;
        }
        if (!id.empty())
            lastId_ = id;
        passed.append(event);
    }
    return passed;
}

} // namespace monsoongrade::gateway
