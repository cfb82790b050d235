#include "soakrun.h"

#include "soakparties.h"
#include "streamchain.h"

#include <algorithm>

namespace monsoongrade::soak {

namespace {

using std::chrono::milliseconds;

constexpr int MinResumed = 12;
constexpr double MinShareOfNew = 0.5;
constexpr int MinServing = 2;
constexpr auto ContactTime = milliseconds(3000);
// New streams are compared with resumed ones within this time of them.
constexpr auto ComparedWithin = milliseconds(500);

} // namespace

// Over all attempts of a stream no event is missing or comes twice, and all are of one software
// version.
void SoakRun::checkEvents(const CallRecord &record, std::vector<std::string> &found) const
{
    const bool isStream
        = record.kind == RequestKind::Stream || record.kind == RequestKind::ResumableStream;
    if (!isStream || record.headStatus != 200)
        return;
    const std::vector<StreamEvent> events = wholeEvents(record.body);
    if (events.empty())
        return;
    const std::string version = record.began.empty()
        ? events.front().version
        : wholeEvents(recordOf(record.began).body).front().version;
    int expected = record.lastEvent;
    for (const StreamEvent &event : events) {
        ++expected;
        if (event.number != expected) {
            found.push_back(record.id + ": event " + std::to_string(event.number) + " in place of "
                            + std::to_string(expected));
            return;
        }
        if (event.version != version) {
            found.push_back(record.id + ": event " + std::to_string(event.number) + " of "
                            + event.version + " in a stream of " + version
                            + (record.began.empty() ? "" : " that " + record.began + " began"));
            return;
        }
    }
}

SoakRun::ResumedStreams SoakRun::resumedStreams() const
{
    ResumedStreams streams;
    std::map<std::string, bool> goOn; // by the attempt that began the stream
    for (const auto &record : caller_.records()) {
        if (!isToBeResumed(*record))
            continue;
        const auto [stream, isNew] = goOn.emplace(record->began, false);
        if (isNew)
            streams.expected += shareOfNewStreams(record->sentAt);
        const bool goesOn = record->headStatus == 200 && !wholeEvents(record->body).empty();
        stream->second = stream->second || goesOn;
        if (!goesOn)
            ++streams.endings[record->status];
    }
    streams.all = int(goOn.size());
    streams.goOn = int(
        std::count_if(goOn.begin(), goOn.end(), [](const auto &stream) { return stream.second; }));
    return streams;
}

// Streams that clients resume go on nearly as often as new streams begin.
void SoakRun::checkResumedStreams(std::vector<std::string> &found) const
{
    const ResumedStreams streams = resumedStreams();
    if (streams.all < MinResumed || streams.goOn >= MinShareOfNew * streams.expected)
        return;
    std::string endings;
    for (const auto &[status, count] : streams.endings)
        endings += ", " + std::to_string(count) + " attempts ended with " + std::to_string(status);
    found.push_back("resumed streams: " + std::to_string(streams.goOn) + " of "
                    + std::to_string(streams.all) + " went on, "
                    + std::to_string(int(streams.expected)) + " would as new ones" + endings);
}

// Whether the attempt resumes a stream at a host in touch, while two endpoints of the stream's
// software version serve.
bool SoakRun::isToBeResumed(const CallRecord &record) const
{
    const bool isRevoked = record.key == SecondKey && revokedAt_ && record.endedAt >= *revokedAt_;
    if (record.began.empty() || !record.wasSent || !record.isEnded || isRevoked
        || !isInTouch(record.host, record.sentAt, record.endedAt))
        return false;
    const std::string version = wholeEvents(recordOf(record.began).body).front().version;
    int serving = 0;
    for (std::size_t i = 0; i < ModelEndpoints; ++i)
        serving += isServing(i, version, record.sentAt, record.endedAt) ? 1 : 0;
    return serving >= MinServing;
}

// Whether the endpoint has this version and nothing keeps it from serving, nor did shortly before.
bool SoakRun::isServing(std::size_t endpoint, const std::string &version, units::TimePoint from,
                        units::TimePoint until) const
{
    const auto isDisturbing = [&](const Fault &fault) {
        return isOfEndpoint(fault.kind) && fault.target == endpoint
            && fault.kind != FaultKind::EndpointSilent && fault.kind != FaultKind::OddEntry
            && isInForce(fault, from - ContactTime, until);
    };
    const auto &crashes = endpoints_[endpoint]->crashes();
    return versionOf(endpoint, from) == version
        && std::none_of(faults_.begin(), faults_.end(), isDisturbing)
        && std::none_of(crashes.begin(), crashes.end(), [&](const standins::WorkerCrash &crash) {
               return crash.at <= until && from <= crash.at + 2 * ContactTime;
           });
}

// The share of new resumable streams sent around this time to hosts in touch that began; 1 if there
// were none.
double SoakRun::shareOfNewStreams(units::TimePoint around) const
{
    int all = 0;
    int begun = 0;
    for (const auto &record : caller_.records()) {
        const bool isCompared = record->kind == RequestKind::ResumableStream
            && record->began.empty() && record->sentAt >= around - ComparedWithin
            && record->sentAt <= around + ComparedWithin
            && isInTouch(record->host, record->sentAt, record->sentAt)
            && !(record->key == SecondKey && revokedAt_);
        if (!isCompared)
            continue;
        ++all;
        begun += record->headStatus == 200 && !wholeEvents(record->body).empty() ? 1 : 0;
    }
    return all == 0 ? 1 : double(begun) / all;
}

} // namespace monsoongrade::soak
