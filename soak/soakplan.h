#ifndef MONSOONGRADE_SOAK_SOAKPLAN_H
#define MONSOONGRADE_SOAK_SOAKPLAN_H

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace monsoongrade::soak {

enum class FaultKind : std::uint8_t {
    Kill, // SIGKILL, started again at the end
    Freeze, // SIGSTOP, SIGCONT at the end
    Stop, // SIGTERM, started again once it has ended
    StoreRefuses, // the store answers 503 to one host
    StoreLosesAnswers, // the store closes connections of one host without an answer
    StoreAway, // the store refuses all
    HistoryGone, // the store drops its history
    CutToEndpoint, // nothing gets through to one endpoint
    CutFromEndpoint, // nothing gets back from it
    EndpointLeaves, // it says so in the store, and restarts at the end
    KeyRevoked, // a new configuration takes a key away
    EndpointAnnouncesLeaving, // it says so in its responses only, and restarts at the end
    EndpointAsksForPauses, // it rejects all requests and asks for pauses
    EndpointRestarts, // it starts again under its id, and tells the store at the end
    EntryLapses, // its entry in the store is gone until the end
    EntryOfAnotherWriter, // its entry is overwritten by one that can't be its own, until the end
    EndpointNamesLimit, // it takes few requests a second, and says so in its responses
    EndpointIsBrittle, // it crashes when it has to reject many requests, and says so in responses
    Burst, // many more requests than usual
    KillAll, // SIGKILL of all hosts, started again at the end
    NewVersion, // an endpoint leaves, and is back at the end with a newer software version
    EndpointSilent, // an endpoint sends nothing, and goes on at the end
    Reload, // a host's settings file is replaced many times, each time with SIGHUP
    Configuration, // new versions in quick succession with other routes and time-outs
    OddEntry, // an entry that can't be read stands beside those of the endpoints
};

// Whether the fault's target is an endpoint; otherwise it is a host.
bool isOfEndpoint(FaultKind kind);
// Short name for the log.
std::string faultName(FaultKind kind);

// One fault of a run: begins and ends at these times after the start of the load. target: the host
// or endpoint, where the kind has one, or which of the entries that can't be read.
struct Fault
{
    FaultKind kind = FaultKind::Kill;
    std::chrono::milliseconds beginsAt{};
    std::chrono::milliseconds endsAt{};
    std::size_t target = 0;
};

// Text form "BEGIN-END:KIND:TARGET" with times in milliseconds, such as
// "2000-9000:endpoint-announces-leaving:6".
std::string formatFault(const Fault &fault);
// Returns nothing if the text does not have this form.
std::optional<Fault> parseFault(const std::string &text);

// Faults that follow from the seed alone, in order of their begin. They come in series and overlap.
// A host that is reloaded may be killed just before, so that signals also come when it starts.
// All end 4.5 s before the run does, so that recovery shows.
std::vector<Fault> planFaults(std::uint32_t seed, std::chrono::seconds length, std::size_t hosts,
                              std::size_t endpoints);

} // namespace monsoongrade::soak

#endif // MONSOONGRADE_SOAK_SOAKPLAN_H
