#include "soakrun.h"

#include "oddentries.h"
#include "soakparties.h"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>

namespace monsoongrade::soak {

namespace {

using nlohmann::json;
using standins::StoreBehavior;
using std::chrono::milliseconds;

constexpr auto AskedPause = milliseconds(3000);
// Requests a second; which one follows from the begin of the fault.
constexpr double NamedLimits[] = {0.3, 1, 8, 40, 0, 1.6, 2};
constexpr double MaxRejections = 2; // a second
// Brittle endpoints let fewer requests wait from this time on.
constexpr auto WaitingShrinksAfter = milliseconds(3000);
constexpr int CodeOfSignal = 128;
constexpr auto PauseAfterOwnEnd = milliseconds(1000);
enum class ReloadWay : std::uint8_t { InPlace, Rename, HalfForAMoment };
constexpr int ReloadWays = 3;
constexpr auto ReloadInterval = milliseconds(250);
constexpr auto ReadsSettingsWithin = milliseconds(200);
constexpr auto HalfFileTime = milliseconds(50);
// A program can take signals once it has begun to run.
constexpr milliseconds StartSignalsAfter[] = {milliseconds(40), milliseconds(100)};
constexpr auto BetweenVersions = milliseconds(100);

double limitOf(const Fault &fault)
{
    return NamedLimits[std::size_t(fault.beginsAt / milliseconds(100)) % std::size(NamedLimits)];
}

std::string oddEntryName(const Fault &fault)
{
    return "odd-" + std::to_string(fault.target) + "-" + std::to_string(fault.beginsAt.count());
}

} // namespace

// Starts those again whose fault is over.
void SoakRun::restartEnded()
{
    for (Host &host : hosts_) {
        noteEnd(host);
        if (host.mustRestart && host.process->exitCode()) {
            host.mustRestart = false;
            startHost(host);
            signalDuringStart(host);
        }
    }
}

// A process that ends though nothing asked for it, or crashes when it is asked to stop, is started
// again.
void SoakRun::noteEnd(Host &host)
{
    constexpr int ExpectedCodes[] = {0, CodeOfSignal + SIGKILL, CodeOfSignal + SIGTERM};
    const auto code = host.process->exitCode();
    if (!code || host.isEndNoted)
        return;
    host.isEndNoted = true;
    const bool isExpected = host.isEndAsked
        && std::find(std::begin(ExpectedCodes), std::end(ExpectedCodes), *code)
            != std::end(ExpectedCodes);
    if (isExpected)
        return;
    const auto after = std::chrono::duration_cast<milliseconds>(timers_.now() - startedAt_).count();
    ownEnds_.push_back(hostParty(std::size_t(&host - hosts_.data()))
                       + ": ended by itself with code " + std::to_string(*code) + " at "
                       + std::to_string(after) + " ms");
    timers_.after(PauseAfterOwnEnd, [&host] { host.mustRestart = true; });
}

void SoakRun::end(Host &host, int signal)
{
    host.isEndAsked = true;
    host.process->signal(signal);
}

void SoakRun::restartOnceEnded(Host &host)
{
    host.process->signal(SIGCONT); // one that is frozen as well could not end
    host.mustRestart = host.isEndAsked;
}

void SoakRun::begin(const Fault &fault)
{
    if (isOfEndpoint(fault.kind))
        beginOfEndpoint(fault, *endpoints_[fault.target]);
    else
        beginOfHost(fault, hosts_[fault.target]);
}

void SoakRun::beginOfHost(const Fault &fault, Host &host)
{
    switch (fault.kind) {
    case FaultKind::Kill:
        end(host, SIGKILL);
        break;
    case FaultKind::KillAll:
        for (Host &each : hosts_)
            end(each, SIGKILL);
        break;
    case FaultKind::Freeze:
        host.process->signal(SIGSTOP);
        break;
    case FaultKind::Stop:
        end(host, SIGTERM);
        break;
    case FaultKind::StoreRefuses:
        store_.setBehavior(StoreBehavior::Refusing, host.store);
        break;
    case FaultKind::StoreLosesAnswers:
        store_.setBehavior(StoreBehavior::DroppingResponses, host.store);
        break;
    case FaultKind::StoreAway:
        store_.setBehavior(StoreBehavior::Refusing);
        break;
    case FaultKind::HistoryGone:
        store_.compact();
        break;
    case FaultKind::KeyRevoked:
        revokedAt_ = timers_.now();
        putConfiguration();
        break;
    case FaultKind::Reload:
        reload(fault);
        break;
    case FaultKind::Configuration:
        changeConfiguration(fault);
        break;
    default:
        break;
    }
}

void SoakRun::beginOfEndpoint(const Fault &fault, standins::StandInWorker &endpoint)
{
    switch (fault.kind) {
    case FaultKind::CutToEndpoint:
        relay_.cut({"hosts", endpointParty(fault.target)});
        break;
    case FaultKind::CutFromEndpoint:
        relay_.cut({endpointParty(fault.target), "hosts"});
        break;
    case FaultKind::EndpointLeaves:
    case FaultKind::NewVersion:
        endpoint.announce("draining");
        break;
    case FaultKind::EndpointAnnouncesLeaving:
        endpoint.announceLeavingInResponses();
        break;
    case FaultKind::EndpointAsksForPauses:
        endpoint.askForPauses(AskedPause);
        break;
    case FaultKind::EndpointNamesLimit:
        endpoint.announceLimit(limitOf(fault));
        break;
    case FaultKind::EndpointIsBrittle:
        endpoint.announceMaxRejections(MaxRejections);
        timers_.after(WaitingShrinksAfter, [this, &fault] {
            if (isInForce(fault, timers_.now(), timers_.now()))
                endpoints_[fault.target]->setMaxWaiting(0);
        });
        break;
    case FaultKind::EndpointRestarts:
        endpoint.restart();
        break;
    case FaultKind::EntryLapses:
        endpoint.removeEntry();
        break;
    case FaultKind::EntryOfAnotherWriter:
        overwriteEntry(fault);
        break;
    case FaultKind::EndpointSilent:
        endpoint.setSilent(true);
        break;
    case FaultKind::OddEntry:
        store_.putRaw("servers", oddEntryName(fault), oddEntry(fault.target));
        break;
    default:
        break;
    }
}

// Writes an entry that names no endpoint to use, or shows no later start than the endpoint's own.
void SoakRun::overwriteEntry(const Fault &fault)
{
    const standins::StandInWorker &endpoint = *endpoints_[fault.target];
    const json starts[] = {0, 1700000000000, "soon", nullptr, 1.5};
    json entry{{"service", endpoint.settings().service},
               {"address", endpoint.settings().announcedAddress},
               {"zone", endpoint.settings().zone},
               {"slots", 1},
               {"state", "ready"},
               {"born", starts[std::size_t(fault.beginsAt.count()) % std::size(starts)]}};
    if (entry["born"].is_null())
        entry.erase("born");
    store_.put("servers", endpoint.settings().id, entry);
}

void SoakRun::end(const Fault &fault)
{
    if (isOfEndpoint(fault.kind))
        endOfEndpoint(fault, *endpoints_[fault.target]);
    else
        endOfHost(fault, hosts_[fault.target]);
}

void SoakRun::endOfHost(const Fault &fault, Host &host)
{
    switch (fault.kind) {
    case FaultKind::Kill:
    case FaultKind::Stop:
        restartOnceEnded(host);
        break;
    case FaultKind::KillAll:
        for (Host &each : hosts_)
            restartOnceEnded(each);
        break;
    case FaultKind::Freeze:
        host.process->signal(SIGCONT);
        break;
    case FaultKind::StoreRefuses:
    case FaultKind::StoreLosesAnswers:
        store_.setBehavior(StoreBehavior::Normal, host.store);
        break;
    case FaultKind::StoreAway:
        store_.setBehavior(StoreBehavior::Normal);
        break;
    default:
        break;
    }
}

void SoakRun::endOfEndpoint(const Fault &fault, standins::StandInWorker &endpoint)
{
    switch (fault.kind) {
    case FaultKind::CutToEndpoint:
        relay_.heal({"hosts", endpointParty(fault.target)}, false);
        break;
    case FaultKind::CutFromEndpoint:
        relay_.heal({endpointParty(fault.target), "hosts"}, false);
        break;
    case FaultKind::EndpointLeaves:
    case FaultKind::EndpointAnnouncesLeaving:
        endpoint.restart();
        endpoint.announce();
        break;
    case FaultKind::EndpointRestarts:
    case FaultKind::EntryLapses:
    case FaultKind::EntryOfAnotherWriter:
        endpoint.announce();
        break;
    case FaultKind::EndpointAsksForPauses:
        endpoint.askForPauses(milliseconds(0));
        break;
    case FaultKind::EndpointNamesLimit:
        endpoint.announceLimit(std::nullopt);
        break;
    case FaultKind::EndpointIsBrittle:
        endpoint.announceMaxRejections(std::nullopt);
        endpoint.setMaxWaiting(MaxWaiting);
        break;
    case FaultKind::NewVersion:
        startNewVersion(fault);
        break;
    case FaultKind::EndpointSilent:
        endpoint.setSilent(false);
        break;
    case FaultKind::OddEntry:
        store_.remove("servers", oddEntryName(fault));
        break;
    default:
        break;
    }
}

// The version of the endpoint's software at that time.
std::string SoakRun::versionOf(std::size_t endpoint, units::TimePoint at) const
{
    const auto changes = std::count_if(faults_.begin(), faults_.end(), [&](const Fault &fault) {
        return fault.kind == FaultKind::NewVersion && fault.target == endpoint
            && startedAt_ + fault.endsAt <= at;
    });
    return "v" + std::to_string(1 + changes);
}

// Some endpoints are back under their id.
void SoakRun::startNewVersion(const Fault &fault)
{
    standins::StandInWorker &endpoint = *endpoints_[fault.target];
    const std::string version = versionOf(fault.target, startedAt_ + fault.endsAt);
    const bool keepsId = fault.beginsAt / milliseconds(100) % 2 == 0;
    endpoint.startAs(keepsId ? endpoint.settings().id : endpointParty(fault.target) + "-" + version,
                     version);
}

void SoakRun::reload(const Fault &fault)
{
    // A process that starts needs a whole file.
    if (timers_.now() - hosts_[fault.target].startedAt > units::Duration(ReadsSettingsWithin))
        replaceSettings(fault);
    timers_.after(ReloadInterval, [this, &fault] {
        if (isInForce(fault, timers_.now(), timers_.now()))
            reload(fault);
    });
}

// Replaces the settings file by one with the same settings: in place, by renaming another one, or
// with half of it for a moment.
void SoakRun::replaceSettings(const Fault &fault)
{
    Host &host = hosts_[fault.target];
    const std::string text
        = host.settings + "# " + std::to_string(timers_.now().time_since_epoch().count()) + "\n";
    const auto way = ReloadWay(fault.beginsAt / milliseconds(100) % ReloadWays);
    if (way == ReloadWay::Rename) {
        const std::string other = host.settingsPath + ".new";
        std::ofstream(other) << text;
        std::filesystem::rename(other, host.settingsPath);
    } else if (way == ReloadWay::InPlace) {
        std::ofstream(host.settingsPath) << text;
    } else {
        std::ofstream(host.settingsPath) << text.substr(0, text.size() / 2);
        timers_.after(HalfFileTime, [&host, text] {
            std::ofstream(host.settingsPath) << text;
            host.process->signal(SIGHUP);
        });
    }
    host.process->signal(SIGHUP);
}

void SoakRun::signalDuringStart(Host &host)
{
    const std::size_t number = std::size_t(&host - hosts_.data());
    const bool isReloaded = std::any_of(faults_.begin(), faults_.end(), [&](const Fault &fault) {
        return fault.kind == FaultKind::Reload && fault.target == number
            && isInForce(fault, timers_.now(), timers_.now());
    });
    if (!isReloaded)
        return;
    for (const milliseconds after : StartSignalsAfter)
        timers_.after(after, [&host] { host.process->signal(SIGHUP); });
}

void SoakRun::changeConfiguration(const Fault &fault)
{
    putConfiguration();
    timers_.after(BetweenVersions, [this, &fault] {
        if (isInForce(fault, timers_.now(), timers_.now()))
            changeConfiguration(fault);
    });
}

} // namespace monsoongrade::soak
