#include "soakrun.h"

#include "soakparties.h"

#include <algorithm>

namespace monsoongrade::soak {

namespace {

using std::chrono::milliseconds;

// Requests at sound endpoints whose connection may end without an answer.
constexpr int MaxLost = 3;
// A request whose last byte was sent so long ago has been read.
constexpr auto ReadWithin = milliseconds(200);
// A disturbance may show this long after its end.
constexpr auto ContactTime = milliseconds(3000);
// Work that was planned counts for this time after the end of its own time.
constexpr auto PlannedWorkMargin = milliseconds(1000);
// New settings and configurations are in force within this time.
constexpr auto ConfigurationTime = milliseconds(5000);
// In the last part of its time to stop a host may cut off what was sent in the first part of it
// and is still at work.
constexpr auto LastPartOfStop = StopWithin / 6;
constexpr auto FirstPartOfStop = milliseconds(StopWithin) * 3 / 8;
// Cuts beside new configurations are compared with those at other times.
constexpr double MaxCutsBesideConfigurations = 3;
constexpr double MaxUsedTime = 0.7;

bool endedInTime(const CallRecord &record)
{
    const auto timeout = std::min<milliseconds>(MinRouteTimeout, RequestDeadline);
    return record.endedAt - record.sentAt < units::Duration(timeout);
}

std::string endOf(const CallRecord &record, int runs)
{
    return std::string(runs > 0 ? "" : " before it ran")
        + (record.headStatus != 0 ? " within its answer" : "");
}

} // namespace

// An accepted request gets its answer.
void SoakRun::checkLost(std::vector<std::string> &found) const
{
    const std::vector<std::string> lost = lostAtSoundEndpoints();
    if (lost.size() > MaxLost) {
        std::string names;
        for (const std::string &each : lost)
            names += ", " + each;
        found.push_back("lost at sound endpoints by hosts in touch: " + std::to_string(lost.size())
                        + names);
    }
    for (const auto &record : caller_.records())
        checkPlannedWork(*record, found);
    checkConfigurationWork(found);
}

// Requests on kept connections that hosts in touch passed on to sound endpoints, and that got no
// whole answer.
std::vector<std::string> SoakRun::lostAtSoundEndpoints() const
{
    std::vector<std::string> lost;
    for (const auto &record : caller_.records()) {
        const bool isLost = isCutOff(*record) && record->isOnKeptConnection
            && runsOf(record->id) > 0 && !isPathDisturbed(*record)
            && isInTouch(record->host, record->sentAt, record->endedAt);
        if (isLost)
            lost.push_back(record->id + " of " + hostParty(record->host)
                           + endOf(*record, runsOf(record->id)));
    }
    return lost;
}

// Whether the connection ended without a whole answer after the request had been read, and neither
// its time nor its endpoint nor its caller is the reason.
bool SoakRun::isCutOff(const CallRecord &record) const
{
    const bool wasRead = runsOf(record.id) > 0
        || (record.wasSent && record.endedAt - record.sentAt > units::Duration(ReadWithin));
    return record.isEnded && record.status == 0 && wasRead && !record.wasGivenUp
        && endedInTime(record) && !hasEndpointBrokenOff(record);
}

// A stop or a reload of a host cuts nothing off, unless the host or a path was harmed as well.
void SoakRun::checkPlannedWork(const CallRecord &record, std::vector<std::string> &found) const
{
    if (!isCutOff(record) || isPathDisturbed(record))
        return;
    const bool isHarmed = std::any_of(faults_.begin(), faults_.end(), [&](const Fault &fault) {
        return isOfHost(fault, record.host) && fault.kind != FaultKind::Stop
            && isInForce(fault, record.sentAt - ContactTime, record.endedAt);
    });
    for (const Fault &fault : faults_) {
        if (isHarmed || fault.target != record.host)
            continue;
        const auto beginsAt = startedAt_ + fault.beginsAt;
        const bool isStopped = fault.kind == FaultKind::Stop && beginsAt <= record.endedAt
            && record.endedAt <= beginsAt + StopWithin + PlannedWorkMargin
            && !isStopExcused(fault, record);
        const bool isReloaded = fault.kind == FaultKind::Reload && beginsAt <= record.endedAt
            && record.sentAt <= startedAt_ + fault.endsAt + ConfigurationTime;
        if (isStopped || isReloaded) {
            found.push_back(record.id + ": cut off by a planned " + faultName(fault.kind) + " of "
                            + hostParty(record.host) + endOf(record, runsOf(record.id)));
            return;
        }
    }
}

// Whether the endpoint was at work late in the time to stop on a request sent early in it.
bool SoakRun::isStopExcused(const Fault &stop, const CallRecord &record) const
{
    const auto beginsAt = startedAt_ + stop.beginsAt;
    const auto lastPart = beginsAt + StopWithin - LastPartOfStop;
    if (record.sentAt > beginsAt + FirstPartOfStop || record.endedAt < lastPart)
        return false;
    return std::any_of(endpoints_.begin(), endpoints_.end(), [&](const auto &endpoint) {
        const auto &runs = endpoint->runs();
        return std::any_of(runs.begin(), runs.end(), [&](const standins::WorkerRun &run) {
            return run.requestId == record.id && (!run.endedAt || *run.endedAt >= lastPart);
        });
    });
}

// New configurations cut off no more requests than other times do.
void SoakRun::checkConfigurationWork(std::vector<std::string> &found) const
{
    struct Group
    {
        int cut = 0;
        int all = 0;
    };
    Group beside;
    Group otherwise;
    std::string names;
    for (const auto &record : caller_.records()) {
        const bool isBeside = std::any_of(faults_.begin(), faults_.end(), [&](const Fault &fault) {
            const bool isOfConfiguration
                = fault.kind == FaultKind::Configuration || fault.kind == FaultKind::KeyRevoked;
            return isOfConfiguration
                && isInForce(fault, record->sentAt - ConfigurationTime - PlannedWorkMargin,
                             record->endedAt);
        });
        const bool isCut = isCutOff(*record) && !isPathDisturbed(*record)
            && isInTouch(record->host, record->sentAt, record->endedAt)
            && record->endedAt - record->sentAt < units::Duration(RequestDeadline) * MaxUsedTime;
        Group &group = isBeside ? beside : otherwise;
        group.cut += isCut ? 1 : 0;
        ++group.all;
        if (isBeside && isCut)
            names += " " + record->id;
    }
    if (beside.cut > 0
        && double(beside.cut) * otherwise.all
            > MaxCutsBesideConfigurations * otherwise.cut * beside.all)
        found.push_back("cut off beside new configurations: " + std::to_string(beside.cut) + " of "
                        + std::to_string(beside.all) + ", otherwise "
                        + std::to_string(otherwise.cut) + " of " + std::to_string(otherwise.all)
                        + ":" + names);
}

// Whether an endpoint that ran the request ended before the request did.
bool SoakRun::hasEndpointBrokenOff(const CallRecord &record) const
{
    for (std::size_t i = 0; i < endpoints_.size(); ++i) {
        const auto &runs = endpoints_[i]->runs();
        const auto &crashes = endpoints_[i]->crashes();
        const auto isDuring = [&](units::TimePoint at) {
            return record.sentAt <= at && at <= record.endedAt;
        };
        const bool ran = std::any_of(runs.begin(), runs.end(),
                                     [&](const auto &run) { return run.requestId == record.id; });
        const bool ended = std::any_of(crashes.begin(), crashes.end(),
                                       [&](const auto &crash) { return isDuring(crash.at); })
            || std::any_of(faults_.begin(), faults_.end(), [&](const Fault &fault) {
                               return fault.kind == FaultKind::NewVersion && fault.target == i
                                   && isDuring(startedAt_ + fault.endsAt);
                           });
        if (ran && ended)
            return true;
    }
    return false;
}

bool SoakRun::isPathDisturbed(const CallRecord &record) const
{
    for (std::size_t i = 0; i < endpoints_.size(); ++i) {
        if (isPathDisturbed(i, record.sentAt - ContactTime, record.endedAt))
            return true;
    }
    return false;
}

// Whether the host ran and had a path to a stable store for some time before and until the end.
bool SoakRun::isInTouch(std::size_t host, units::TimePoint from, units::TimePoint until) const
{
    return std::none_of(faults_.begin(), faults_.end(), [&](const Fault &fault) {
        const bool isOfStore = fault.kind == FaultKind::StoreAway
            || ((fault.kind == FaultKind::StoreRefuses
                 || fault.kind == FaultKind::StoreLosesAnswers)
                && fault.target == host);
        // A host that is stopped starts again once it has ended.
        const bool isStopping = fault.kind == FaultKind::Stop && fault.target == host
            && startedAt_ + fault.beginsAt <= until
            && from - ContactTime <= startedAt_ + fault.beginsAt + StopWithin;
        return isStopping
            || ((isOfStore || isOfHost(fault, host))
                && isInForce(fault, from - ContactTime, until));
    });
}

} // namespace monsoongrade::soak
