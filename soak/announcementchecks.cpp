#include "soakrun.h"

#include "soakparties.h"

#include <algorithm>

namespace monsoongrade::soak {

namespace {

using std::chrono::milliseconds;

// A host that was told in a response that an endpoint leaves may send to it for this time.
constexpr auto LeavesWithin = milliseconds(2000);
// Requests under way when an endpoint asks for a pause may arrive for this time, and a few later.
constexpr auto InFlightTime = milliseconds(500);
constexpr int MaxArrivalsInPause = 2;

} // namespace

// Ids end with the number of the request.
const CallRecord &SoakRun::recordOf(const std::string &requestId) const
{
    const std::size_t digits = requestId.find_first_of("0123456789");
    return *caller_.records().at(std::stoul(requestId.substr(digits)));
}

// What endpoints announced in responses holds for the host that passed the response on, whatever
// the store says.
void SoakRun::checkAnnouncements(std::vector<std::string> &found) const
{
    for (std::size_t endpoint = 0; endpoint < endpoints_.size(); ++endpoint) {
        for (const standins::WorkerArrival &arrival : endpoints_[endpoint]->arrivals()) {
            if (arrival.announcedLeaving || arrival.pause.count() > 0)
                checkArrivalsAfter(arrival, endpoint, found);
        }
    }
}

void SoakRun::checkArrivalsAfter(const standins::WorkerArrival &announcement, std::size_t endpoint,
                                 std::vector<std::string> &found) const
{
    const CallRecord &told = recordOf(announcement.requestId);
    const bool wasPassedOn
        = told.isEnded && told.signature.rfind(endpointParty(endpoint) + ".", 0) == 0;
    int arrivalsInPause = 0;
    for (const standins::WorkerArrival &later : endpoints_[endpoint]->arrivals()) {
        const CallRecord &record = recordOf(later.requestId);
        if (later.born != announcement.born || record.host != told.host
            || isDisturbed(told.host, endpoint, announcement.at, later.at))
            continue;
        if (announcement.announcedLeaving && wasPassedOn
            && record.sentAt > told.endedAt + LeavesWithin)
            found.push_back(record.id + ": reached " + endpointParty(endpoint)
                            + ", which had said to its host that it leaves");
        if (later.at > announcement.at + InFlightTime
            && later.at < announcement.at + announcement.pause)
            ++arrivalsInPause;
    }
    if (arrivalsInPause > MaxArrivalsInPause)
        found.push_back(told.id + ": " + endpointParty(endpoint)
                        + " asked its host for a pause and got " + std::to_string(arrivalsInPause)
                        + " requests");
}

// A host that is killed or frozen forgets what it was told, or acts late; a response may not get
// through a cut.
bool SoakRun::isDisturbed(std::size_t host, std::size_t endpoint, units::TimePoint from,
                          units::TimePoint until) const
{
    return std::any_of(faults_.begin(), faults_.end(), [&](const Fault &fault) {
        const bool isOfHost = (fault.kind == FaultKind::Kill || fault.kind == FaultKind::Stop
                               || fault.kind == FaultKind::Freeze)
            && fault.target == host;
        const bool isOfPath
            = (fault.kind == FaultKind::CutToEndpoint || fault.kind == FaultKind::CutFromEndpoint)
            && fault.target == endpoint;
        return (isOfHost || isOfPath) && startedAt_ + fault.beginsAt <= until
            && from <= startedAt_ + fault.endsAt;
    });
}

} // namespace monsoongrade::soak
