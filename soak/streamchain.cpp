#include "streamchain.h"

#include "soakparties.h"

#include <algorithm>

namespace monsoongrade::soak {

namespace {

using std::chrono::milliseconds;

constexpr int MaxResumptions = 3;
constexpr int MinDelayMs = 50;
constexpr int MaxDelayMs = 2500;
// A stream that has less time left is not resumed.
constexpr auto MinTimeLeft = milliseconds(300);
// Part of the time left for which a client waits if asked to.
constexpr int MaxWaitPart = 3;
constexpr int StatusOk = 200;

StreamEvent eventOf(const std::string &block)
{
    const std::string idField = "id: ";
    const std::size_t lineEnd = block.find('\n');
    if (block.rfind(idField, 0) != 0 || lineEnd == std::string::npos)
        return {};
    const std::string number = block.substr(idField.size(), lineEnd - idField.size());
    const std::string data = "data: event " + number + " of ";
    const std::string second = block.substr(lineEnd + 1);
    if (second.rfind(data, 0) != 0 || second.find('\n') != std::string::npos)
        return {};
    return {std::atoi(number.c_str()), second.substr(data.size())};
}

bool mayRetry(const CallRecord &ended)
{
    const int statuses[] = {0, 408, 421, 429, 502, 503, 504};
    return std::find(std::begin(statuses), std::end(statuses), ended.status) != std::end(statuses);
}

} // namespace

std::vector<StreamEvent> wholeEvents(const std::string &body)
{
    const std::string end = "\n\n";
    std::vector<StreamEvent> events;
    std::size_t begin = 0;
    for (std::size_t at = body.find(end); at != std::string::npos; at = body.find(end, begin)) {
        events.push_back(eventOf(body.substr(begin, at - begin)));
        begin = at + end.size();
    }
    return events;
}

std::optional<Resumption> resumptionOf(const CallRecord &ended, std::mt19937 &random)
{
    if (ended.kind != RequestKind::ResumableStream || !mayRetry(ended))
        return std::nullopt;
    const std::vector<StreamEvent> events
        = ended.headStatus == StatusOk ? wholeEvents(ended.body) : std::vector<StreamEvent>();
    Resumption resumption;
    CallRecord &next = resumption.next;
    next.kind = ended.kind;
    next.key = ended.key;
    next.firstSentAt = ended.firstSentAt;
    next.lastEvent = events.empty() ? ended.lastEvent : events.back().number;
    next.began = ended.began.empty() && !events.empty() ? ended.id : ended.began;
    next.resumptions = ended.resumptions + (!ended.began.empty() && ended.wasSent ? 1 : 0);
    const auto left = ended.firstSentAt + StreamTime - ended.endedAt;
    const auto maxWait = std::chrono::duration_cast<milliseconds>(left / MaxWaitPart);
    const auto ownDelay
        = milliseconds(MinDelayMs + int(random() % std::uint32_t(MaxDelayMs - MinDelayMs)));
    resumption.delay
        = std::max(std::min(ended.retryAfter.value_or(milliseconds(0)), maxWait), ownDelay);
    if (next.began.empty() || next.lastEvent >= EventsOfStream || next.resumptions >= MaxResumptions
        || left - resumption.delay < MinTimeLeft)
        return std::nullopt;
    return resumption;
}

} // namespace monsoongrade::soak
