#include "soakrun.h"

#include "soakparties.h"
#include "streamchain.h"

#include <algorithm>
#include <sstream>

namespace monsoongrade::soak {

namespace {

using std::chrono::milliseconds;

// Promises of the product: a revoked key stops working, a leaving endpoint gets no new requests.
constexpr auto RevokedWithin = milliseconds(5000);
constexpr auto LeavesWithin = milliseconds(2000);
// A request that crosses the close of its connection ends within this time.
constexpr auto CrossesWithin = milliseconds(200);
// A disturbance of a host, or of its path, may show this long after its end.
constexpr auto Afterwards = milliseconds(3500);
// No class or workspace gets less than a quarter of the share that all get.
constexpr double MinShareOfMean = 0.25;
// In the last eighth, with all faults over, nearly all are answered.
constexpr double MinRecovered = 0.9;
constexpr int RunLengthParts = 8;

bool isStream(RequestKind kind)
{
    return kind == RequestKind::Stream || kind == RequestKind::ResumableStream;
}

bool mayRunOnceOnly(RequestKind kind)
{
    return kind == RequestKind::Unsafe || kind == RequestKind::Stream;
}

const char *kindName(RequestKind kind)
{
    const char *const names[] = {"safe", "unsafe", "stream", "resumable"};
    return names[std::size_t(kind)];
}

} // namespace

int SoakRun::runsOf(const std::string &id) const
{
    const auto found = runs_.find(id);
    return found == runs_.end() ? 0 : found->second;
}

std::vector<std::string> SoakRun::violations() const
{
    std::vector<std::string> found;
    for (const auto &record : caller_.records()) {
        checkAnswer(*record, found);
        checkEvents(*record, found);
        checkRuns(*record, found);
    }
    checkLost(found);
    checkResumedStreams(found);
    found.insert(found.end(), ownEnds_.begin(), ownEnds_.end());
    checkAnnouncements(found);
    checkShares(found);
    checkDuties(found);
    return found;
}

// One host at a time reports, each window once, and no more than endpoints began to run.
void SoakRun::checkDuties(std::vector<std::string> &found) const
{
    for (const std::string &fault : duties_.faults())
        found.push_back("duties: " + fault);
    std::int64_t reported = 0;
    for (const auto &[window, counts] : duties_.reports()) {
        for (const auto &[workspace, count] : counts.items())
            reported += count.get<std::int64_t>();
    }
    if (reported == 0)
        found.emplace_back("duties: no usage was reported");
    if (reported > std::int64_t(runs_.size()))
        found.push_back("duties: " + std::to_string(reported) + " requests reported, "
                        + std::to_string(runs_.size()) + " began");
}

// Each caller gets its own whole answer, or none that looks like one.
void SoakRun::checkAnswer(const CallRecord &record, std::vector<std::string> &found) const
{
    if (record.status == 401 && !(record.key == SecondKey && revokedAt_))
        found.push_back(record.id + ": a valid key was refused as unknown");
    if (record.status != 200)
        return;
    const std::size_t dot = record.signature.find('.');
    const std::string endpoint = record.signature.substr(0, dot);
    if (dot == std::string::npos || record.signature.substr(dot + 1) != record.id)
        found.push_back(record.id + ": answer of another request, signed " + record.signature);
    const std::vector<StreamEvent> events = wholeEvents(record.body);
    const bool isWhole = isStream(record.kind)
        ? !events.empty() && events.back().number == EventsOfStream
        : record.body == "answer of " + endpoint;
    if (!isWhole)
        found.push_back(record.id + ": an answer that is not whole looks complete");
}

// What endpoints ran: at most once, nothing that was refused, nothing with a revoked key, nothing
// at an endpoint that has left.
void SoakRun::checkRuns(const CallRecord &record, std::vector<std::string> &found) const
{
    const int runs = runsOf(record.id);
    if (mayRunOnceOnly(record.kind) && runs > 1)
        found.push_back(record.id + ": ran " + std::to_string(runs) + " times");
    if (mayRunOnceOnly(record.kind) && record.status == 503 && runs > 0)
        found.push_back(record.id + ": refused as not run, and ran");
    const bool isRevoked = record.key == SecondKey && revokedAt_
        && record.sentAt > *revokedAt_ + units::Duration(RevokedWithin);
    if (isRevoked && runs > 0)
        found.push_back(record.id + ": ran with a key that was revoked before");
    const std::size_t left = leftEndpointThatRan(record);
    if (left != Endpoints)
        found.push_back(record.id + ": ran at " + endpointParty(left) + ", which had left");
}

// The endpoint that ran the request though it had left when the request was sent; Endpoints if
// none. While the store does not tell a host, it can't know, and a frozen host is late with
// everything.
std::size_t SoakRun::leftEndpointThatRan(const CallRecord &record) const
{
    const bool isExcused = std::any_of(faults_.begin(), faults_.end(), [&](const Fault &fault) {
        const bool isOfStore = fault.kind == FaultKind::StoreAway
            || ((fault.kind == FaultKind::StoreRefuses || fault.kind == FaultKind::StoreLosesAnswers
                 || fault.kind == FaultKind::Freeze)
                && fault.target == record.host);
        return (isOfStore || fault.kind == FaultKind::KillAll) && overlaps(fault, record);
    });
    if (isExcused)
        return Endpoints;
    for (const Fault &fault : faults_) {
        const bool leaves
            = fault.kind == FaultKind::EndpointLeaves || fault.kind == FaultKind::NewVersion;
        if (!leaves || record.sentAt <= startedAt_ + fault.beginsAt + LeavesWithin
            || record.endedAt >= startedAt_ + fault.endsAt)
            continue;
        const auto &runs = endpoints_[fault.target]->runs();
        const bool ran = std::any_of(runs.begin(), runs.end(),
                                     [&](const auto &run) { return run.requestId == record.id; });
        if (ran && isAloneOnEntry(fault))
            return fault.target;
    }
    return Endpoints;
}

// Whether no other fault writes the entry of the endpoint, perhaps as ready.
bool SoakRun::isAloneOnEntry(const Fault &fault) const
{
    return std::none_of(faults_.begin(), faults_.end(), [&](const Fault &other) {
        const bool writesEntry = other.kind == FaultKind::EndpointLeaves
            || other.kind == FaultKind::EndpointAnnouncesLeaving
            || other.kind == FaultKind::EndpointRestarts || other.kind == FaultKind::EntryLapses
            || other.kind == FaultKind::NewVersion || other.kind == FaultKind::EntryOfAnotherWriter;
        return &other != &fault && writesEntry && other.target == fault.target;
    });
}

bool SoakRun::overlaps(const Fault &fault, const CallRecord &record) const
{
    return startedAt_ + fault.beginsAt <= record.endedAt
        && record.sentAt <= startedAt_ + fault.endsAt + Afterwards;
}

// No kind of request or workspace starves, and all are served again when the faults are over.
void SoakRun::checkShares(std::vector<std::string> &found) const
{
    std::map<std::string, std::pair<int, int>> groups; // served, all
    std::pair<int, int> all;
    std::pair<int, int> last;
    const auto lastBegins = startedAt_ + settings_.length - settings_.length / RunLengthParts;
    for (const auto &record : caller_.records()) {
        const bool isRevoked
            = record->key == SecondKey && revokedAt_ && record->sentAt >= *revokedAt_;
        if (isRevoked || !record->began.empty())
            continue;
        const int served = record->status == 200 ? 1 : 0;
        for (auto *group : {&groups[kindName(record->kind)], &groups[record->key], &all}) {
            group->first += served;
            ++group->second;
        }
        if (record->sentAt >= lastBegins) {
            last.first += served;
            ++last.second;
        }
    }
    for (const auto &[name, group] : groups) {
        if (double(group.first) / group.second < MinShareOfMean * all.first / all.second)
            found.push_back(name + ": starved");
    }
    if (last.second > 0 && double(last.first) / last.second < MinRecovered)
        found.push_back("not recovered: " + std::to_string(last.first) + " of "
                        + std::to_string(last.second) + " served at the end");
}

std::string SoakRun::table() const
{
    std::map<std::string, std::map<int, int>> counts;
    for (const auto &record : caller_.records())
        ++counts[kindName(record->kind)][record->isEnded ? record->status : -1];
    std::ostringstream out;
    for (const Fault &fault : faults_)
        out << formatFault(fault) << "\n";
    for (const auto &[kind, statuses] : counts) {
        out << kind << ":";
        for (const auto &[status, count] : statuses)
            out << " " << (status == 0 ? "none" : std::to_string(status)) << " " << count;
        out << "\n";
    }
    const ResumedStreams streams = resumedStreams();
    out << "resumed at hosts in touch: " << streams.all << " streams, " << streams.goOn
        << " went on\n";
    for (const std::string &lost : lostAtSoundEndpoints())
        out << "lost at a sound endpoint: " << lost << "\n";
    for (std::size_t endpoint = 0; endpoint < endpoints_.size(); ++endpoint) {
        for (const standins::WorkerCrash &crash : endpoints_[endpoint]->crashes())
            out << endpointParty(endpoint) << " crashed at "
                << std::chrono::duration_cast<milliseconds>(crash.at - startedAt_).count()
                << " ms, after " << crash.rejectedIds.size() << " rejections in a second\n";
    }
    return out.str();
}

std::string SoakRun::requests() const
{
    const auto after = [&](units::TimePoint at) {
        return std::chrono::duration_cast<milliseconds>(at - startedAt_).count();
    };
    std::ostringstream out;
    for (const auto &record : caller_.records()) {
        out << record->id << " " << kindName(record->kind) << " " << hostParty(record->host)
            << " sent=" << after(record->sentAt) << " ended=" << after(record->endedAt)
            << " status=" << record->headStatus << "/" << record->status
            << " connected=" << record->wasSent << " kept=" << record->isOnKeptConnection
            << " signature=" << record->signature;
        if (!record->began.empty())
            out << " resumes=" << record->began << " after=" << record->lastEvent;
        out << "\n";
    }
    return out.str();
}

} // namespace monsoongrade::soak
