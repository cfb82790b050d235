#include "soakrun.h"

#include "soakparties.h"

#include <limitedarrivals.h>

#include <algorithm>

namespace monsoongrade::soak {

namespace {

using std::chrono::milliseconds;

// A host that was told in a response that an endpoint leaves may send to it for this time.
constexpr auto LeavesWithin = milliseconds(2000);
// Requests under way when an endpoint asks for a pause may arrive for this time, and a few later.
constexpr auto InFlightTime = milliseconds(500);
constexpr int MaxArrivalsInPause = 2;
// Crashes of brittle endpoints of a service, beside a share of their number.
constexpr int MaxCrashes = 2;
constexpr double MaxCrashesPerEndpoint = 0.1;
// A host that was disturbed within this time before a crash is not to blame for it.
constexpr auto ContactTime = milliseconds(3000);

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
            checkLeaving(arrival, endpoint, found);
            if (arrival.pause.count() > 0)
                checkPause(arrival, endpoint, found);
        }
        checkLimit(endpoint, found);
    }
    for (const bool areModelEndpoints : {true, false})
        checkCrashes(areModelEndpoints, found);
}

// A crash counts if most of the rejected requests came from undisturbed hosts.
void SoakRun::checkCrashes(bool areModelEndpoints, std::vector<std::string> &found) const
{
    const std::size_t first = areModelEndpoints ? 0 : ModelEndpoints;
    const std::size_t last = areModelEndpoints ? ModelEndpoints : Endpoints;
    std::size_t crashes = 0;
    std::string times;
    for (std::size_t endpoint = first; endpoint < last; ++endpoint) {
        for (const standins::WorkerCrash &crash : endpoints_[endpoint]->crashes()) {
            const auto counted = std::count_if(
                crash.rejectedIds.begin(), crash.rejectedIds.end(), [&](const std::string &id) {
                    return !isHostDisturbed(recordOf(id).host, crash.at - ContactTime, crash.at);
                });
            if (std::size_t(counted) * 2 <= crash.rejectedIds.size())
                continue;
            ++crashes;
            times += " " + endpointParty(endpoint) + " at "
                + std::to_string(
                         std::chrono::duration_cast<milliseconds>(crash.at - startedAt_).count())
                + " ms,";
        }
    }
    const double allowed = MaxCrashes + MaxCrashesPerEndpoint * double(last - first);
    if (double(crashes) > allowed)
        found.push_back("brittle endpoints crashed " + std::to_string(crashes) + " times:" + times);
}

void SoakRun::checkLimit(std::size_t endpoint, std::vector<std::string> &found) const
{
    const standins::WorkerArrival *first = nullptr; // that was told the limit in force
    tests::LimitedArrivals counted;
    for (const standins::WorkerArrival &arrival : endpoints_[endpoint]->arrivals()) {
        const bool isNewLimit = first == nullptr || first->born != arrival.born;
        if (!arrival.limit || isNewLimit) {
            first = arrival.limit ? &arrival : nullptr;
            counted = {};
        }
        if (first == nullptr)
            continue;
        const CallRecord &record = recordOf(arrival.requestId);
        const std::string host = hostParty(record.host);
        const auto told = counted.toldAt(host);
        const bool isExcused = told
            && (isHostDisturbed(record.host, *told, arrival.at)
                || isPathDisturbed(endpoint, *told, arrival.at));
        counted.onAnnounced(arrival.at);
        const int inSpan = isExcused ? 0 : counted.onArrival(host, arrival.at);
        if (wasPassedOn(arrival, endpoint))
            counted.onTold(host, record.endedAt);
        if (inSpan > tests::LimitedArrivals::allowed(*first->limit)) {
            found.push_back(record.id + ": " + endpointParty(endpoint) + " named a limit of "
                            + std::to_string(*first->limit) + " a second and got "
                            + std::to_string(inSpan) + " requests in 4 s");
            return;
        }
    }
}

// Reports the arrival if the same process had announced to the same host long before that it is
// leaving.
void SoakRun::checkLeaving(const standins::WorkerArrival &arrival, std::size_t endpoint,
                           std::vector<std::string> &found) const
{
    const CallRecord &record = recordOf(arrival.requestId);
    for (const standins::WorkerArrival &earlier : endpoints_[endpoint]->arrivals()) {
        const CallRecord &told = recordOf(earlier.requestId);
        if (!earlier.announcedLeaving || earlier.born != arrival.born || told.host != record.host
            || !wasPassedOn(earlier, endpoint) || record.sentAt <= told.endedAt + LeavesWithin
            || isHostDisturbed(told.host, earlier.at, arrival.at))
            continue;
        const auto since
            = std::chrono::duration_cast<milliseconds>(record.sentAt - told.endedAt).count();
        found.push_back(record.id + ": reached " + endpointParty(endpoint) + " from "
                        + hostParty(record.host) + ", sent " + std::to_string(since)
                        + " ms after a response of it that announced leaving (" + told.id + ")");
        return;
    }
}

void SoakRun::checkPause(const standins::WorkerArrival &rejection, std::size_t endpoint,
                         std::vector<std::string> &found) const
{
    const CallRecord &told = recordOf(rejection.requestId);
    const auto &arrivals = endpoints_[endpoint]->arrivals();
    const auto count = std::count_if(arrivals.begin(), arrivals.end(), [&](const auto &later) {
        return later.born == rejection.born && recordOf(later.requestId).host == told.host
            && later.at > rejection.at + InFlightTime && later.at < rejection.at + rejection.pause
            && !isHostDisturbed(told.host, rejection.at, later.at)
            && !isPathDisturbed(endpoint, rejection.at, later.at);
    });
    if (count > MaxArrivalsInPause)
        found.push_back(told.id + ": " + endpointParty(endpoint)
                        + " asked its host for a pause and got " + std::to_string(count)
                        + " requests");
}

bool SoakRun::wasPassedOn(const standins::WorkerArrival &arrival, std::size_t endpoint) const
{
    const CallRecord &record = recordOf(arrival.requestId);
    return record.isEnded && record.status == 200
        && (record.signature.rfind(endpointParty(endpoint) + ".", 0) == 0
            || record.signature.rfind(endpointParty(endpoint) + "-", 0) == 0);
}

// A host that is killed or frozen forgets what it was told, or acts late.
bool SoakRun::isHostDisturbed(std::size_t host, units::TimePoint from, units::TimePoint until) const
{
    return std::any_of(faults_.begin(), faults_.end(), [&](const Fault &fault) {
        return isOfHost(fault, host) && isInForce(fault, from, until);
    });
}

// Whether the fault kills, stops or freezes the host.
bool SoakRun::isOfHost(const Fault &fault, std::size_t host)
{
    const bool isOfOne = fault.kind == FaultKind::Kill || fault.kind == FaultKind::Stop
        || fault.kind == FaultKind::Freeze;
    return fault.kind == FaultKind::KillAll || (isOfOne && fault.target == host);
}

// A rejection may not get through a cut.
bool SoakRun::isPathDisturbed(std::size_t endpoint, units::TimePoint from,
                              units::TimePoint until) const
{
    return std::any_of(faults_.begin(), faults_.end(), [&](const Fault &fault) {
        const bool isOfPath
            = fault.kind == FaultKind::CutToEndpoint || fault.kind == FaultKind::CutFromEndpoint;
        return isOfPath && fault.target == endpoint && isInForce(fault, from, until);
    });
}

bool SoakRun::isInForce(const Fault &fault, units::TimePoint from, units::TimePoint until) const
{
    return startedAt_ + fault.beginsAt <= until && from <= startedAt_ + fault.endsAt;
}

} // namespace monsoongrade::soak
