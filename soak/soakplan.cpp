#include "soakplan.h"

#include <algorithm>
#include <random>
#include <sstream>

namespace monsoongrade::soak {

namespace {

constexpr int FaultKinds = 25;
constexpr int FaultsPerSecond = 1;
// Kinds from this one on are drawn by themselves, for one fault in two of the others.
constexpr int FirstExtraKind = int(FaultKind::KillAll);
constexpr std::size_t FaultsPerExtraFault = 2;
constexpr int MinFaultMs = 300;
constexpr int MaxFaultMs = 4000;
// What an endpoint announces binds hosts from 2 or 3 s on, so shorter times test little.
constexpr int MinAnnouncedMs = 3000;
constexpr int MaxAnnouncedMs = 9000;
// Sound endpoints are silent for about a second at most.
constexpr int MinSilentMs = 600;
constexpr int MaxSilentMs = 1100;
// Hosts stop sending to an endpoint within 2 s of its leaving.
constexpr int MinLeavingMs = 2200;
constexpr int MaxLeavingMs = 4000;
// A host that is started again at the end of its fault serves within this time, and so do all after
// an outage of the store.
constexpr auto RecoveryTime = std::chrono::milliseconds(4500);

// A fault of the entry of an endpoint that announces its leaving. Faults drawn by themselves would
// rarely meet on one endpoint.
Fault entryFaultDuring(const Fault &leaving, std::mt19937 &random)
{
    constexpr int BeforeLeavingMs = 200;
    constexpr int MaxStartMs = 3000;
    // An announcement binds a host from 2 s on, so the entry changes back later than that.
    constexpr int MinDurationMs = 2500;
    constexpr FaultKind Kinds[]
        = {FaultKind::EndpointRestarts, FaultKind::EntryLapses, FaultKind::EntryOfAnotherWriter};
    Fault fault;
    fault.kind = Kinds[random() % std::size(Kinds)];
    fault.target = leaving.target;
    fault.beginsAt = leaving.beginsAt + std::chrono::milliseconds(random() % MaxStartMs);
    // After a restart an endpoint has announced nothing, so that comes first.
    if (fault.kind == FaultKind::EndpointRestarts)
        fault.beginsAt = std::max(leaving.beginsAt - std::chrono::milliseconds(BeforeLeavingMs),
                                  std::chrono::milliseconds(0));
    fault.beginsAt = std::min(fault.beginsAt, leaving.endsAt);
    const auto lasts = std::chrono::milliseconds(MinDurationMs + random() % MaxStartMs);
    fault.endsAt = std::min(fault.beginsAt + lasts, leaving.endsAt);
    return fault;
}

std::chrono::milliseconds durationOf(FaultKind kind, std::mt19937 &random)
{
    int minMs = MinFaultMs;
    int maxMs = MaxFaultMs;
    switch (kind) {
    case FaultKind::EndpointAnnouncesLeaving:
    case FaultKind::EndpointNamesLimit:
    case FaultKind::EndpointIsBrittle:
        minMs = MinAnnouncedMs;
        maxMs = MaxAnnouncedMs;
        break;
    case FaultKind::EndpointSilent:
        minMs = MinSilentMs;
        maxMs = MaxSilentMs;
        break;
    case FaultKind::NewVersion:
        minMs = MinLeavingMs;
        maxMs = MaxLeavingMs;
        break;
    default:
        break;
    }
    return std::chrono::milliseconds(minMs + int(random() % std::uint32_t(maxMs - minMs)));
}

// Adds faults of the later kinds. All hosts are killed at most once, as little runs meanwhile.
void addExtraFaults(std::vector<Fault> &faults, std::uint32_t seed,
                    std::chrono::milliseconds faultTime, std::size_t hosts, std::size_t endpoints)
{
    constexpr std::uint32_t SeedOffset = 1000000;
    constexpr auto KillLead = std::chrono::milliseconds(300);
    constexpr auto KillTime = std::chrono::milliseconds(500);
    std::mt19937 random(seed + SeedOffset);
    const std::size_t count = faults.size() / FaultsPerExtraFault;
    const auto lastBegin = std::uint32_t(faultTime.count() - MinFaultMs);
    bool hasKilledAll = false;
    for (std::size_t i = 0; i < count; ++i) {
        Fault fault;
        fault.kind = FaultKind(FirstExtraKind + int(random() % (FaultKinds - FirstExtraKind)));
        if (fault.kind == FaultKind::KillAll && hasKilledAll)
            fault.kind = FaultKind::EndpointSilent;
        hasKilledAll = hasKilledAll || fault.kind == FaultKind::KillAll;
        fault.beginsAt = std::chrono::milliseconds(random() % lastBegin);
        fault.endsAt = std::min(fault.beginsAt + durationOf(fault.kind, random), faultTime);
        fault.target = random() % (isOfEndpoint(fault.kind) ? endpoints : hosts);
        faults.push_back(fault);
        if (fault.kind == FaultKind::Reload && random() % 2 == 0) {
            const auto begin = std::max(fault.beginsAt - KillLead, std::chrono::milliseconds(0));
            faults.push_back({FaultKind::Kill, begin, begin + KillTime, fault.target});
        }
    }
}

} // namespace

bool isOfEndpoint(FaultKind kind)
{
    switch (kind) {
    case FaultKind::CutToEndpoint:
    case FaultKind::CutFromEndpoint:
    case FaultKind::EndpointLeaves:
    case FaultKind::EndpointAnnouncesLeaving:
    case FaultKind::EndpointAsksForPauses:
    case FaultKind::EndpointRestarts:
    case FaultKind::EntryLapses:
    case FaultKind::EntryOfAnotherWriter:
    case FaultKind::EndpointNamesLimit:
    case FaultKind::EndpointIsBrittle:
    case FaultKind::NewVersion:
    case FaultKind::EndpointSilent:
    case FaultKind::OddEntry: // as many of them as endpoints
        return true;
    default:
        return false;
    }
}

std::string faultName(FaultKind kind)
{
    switch (kind) {
    case FaultKind::Kill:
        return "kill";
    case FaultKind::Freeze:
        return "freeze";
    case FaultKind::Stop:
        return "stop";
    case FaultKind::StoreRefuses:
        return "store-refuses";
    case FaultKind::StoreLosesAnswers:
        return "store-loses-answers";
    case FaultKind::StoreAway:
        return "store-away";
    case FaultKind::HistoryGone:
        return "history-gone";
    case FaultKind::CutToEndpoint:
        return "cut-to-endpoint";
    case FaultKind::CutFromEndpoint:
        return "cut-from-endpoint";
    case FaultKind::EndpointLeaves:
        return "endpoint-leaves";
    case FaultKind::KeyRevoked:
        return "key-revoked";
    case FaultKind::EndpointAnnouncesLeaving:
        return "endpoint-announces-leaving";
    case FaultKind::EndpointAsksForPauses:
        return "endpoint-asks-for-pauses";
    case FaultKind::EndpointRestarts:
        return "endpoint-restarts";
    case FaultKind::EntryLapses:
        return "entry-lapses";
    case FaultKind::EntryOfAnotherWriter:
        return "entry-of-another-writer";
    case FaultKind::EndpointNamesLimit:
        return "endpoint-names-limit";
    case FaultKind::EndpointIsBrittle:
        return "endpoint-is-brittle";
    case FaultKind::Burst:
        return "burst";
    case FaultKind::KillAll:
        return "kill-all";
    case FaultKind::NewVersion:
        return "new-version";
    case FaultKind::EndpointSilent:
        return "endpoint-silent";
    case FaultKind::Reload:
        return "reload";
    case FaultKind::Configuration:
        return "configuration";
    case FaultKind::OddEntry:
        return "odd-entry";
    }
    return "unknown";
}

std::string formatFault(const Fault &fault)
{
    return std::to_string(fault.beginsAt.count()) + "-" + std::to_string(fault.endsAt.count()) + ":"
        + faultName(fault.kind) + ":" + std::to_string(fault.target);
}

std::optional<Fault> parseFault(const std::string &text)
{
    std::istringstream in(text);
    std::int64_t begin = 0;
    std::int64_t end = 0;
    Fault fault;
    char dash = 0;
    char colon = 0;
    std::string name;
    in >> begin >> dash >> end >> colon;
    std::getline(in, name, ':');
    in >> fault.target;
    fault.beginsAt = std::chrono::milliseconds(begin);
    fault.endsAt = std::chrono::milliseconds(end);
    for (int kind = 0; kind < FaultKinds; ++kind) {
        fault.kind = FaultKind(kind);
        if (faultName(fault.kind) == name && formatFault(fault) == text)
            return fault;
    }
    return std::nullopt;
}

std::vector<Fault> planFaults(std::uint32_t seed, std::chrono::seconds length, std::size_t hosts,
                              std::size_t endpoints)
{
    // The engine's numbers are the same everywhere; the library's distributions are not.
    std::mt19937 random(seed);
    const auto below = [&](std::uint32_t bound) {
        return random() % std::max(bound, 1U);
    };
    const std::chrono::milliseconds faultTime = length - RecoveryTime;
    const auto lastBegin = std::uint32_t(faultTime.count() - MinFaultMs);
    const auto count = std::size_t(faultTime / std::chrono::seconds(1)) * FaultsPerSecond;
    std::vector<Fault> faults;
    bool hasRevoked = false;
    for (std::size_t i = 0; i < count; ++i) {
        Fault fault;
        fault.kind = FaultKind(below(FirstExtraKind));
        if (fault.kind == FaultKind::KeyRevoked && hasRevoked)
            fault.kind = FaultKind::Kill;
        hasRevoked = hasRevoked || fault.kind == FaultKind::KeyRevoked;
        fault.beginsAt = std::chrono::milliseconds(below(lastBegin));
        fault.endsAt = std::min(fault.beginsAt + durationOf(fault.kind, random), faultTime);
        fault.target = below(std::uint32_t(isOfEndpoint(fault.kind) ? endpoints : hosts));
        faults.push_back(fault);
        if (fault.kind == FaultKind::EndpointAnnouncesLeaving)
            faults.push_back(entryFaultDuring(fault, random));
    }
    addExtraFaults(faults, seed, faultTime, hosts, endpoints);
    std::sort(faults.begin(), faults.end(),
              [](const Fault &a, const Fault &b) { return a.beginsAt < b.beginsAt; });
    return faults;
}

} // namespace monsoongrade::soak
