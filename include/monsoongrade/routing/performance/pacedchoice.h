#ifndef MONSOONGRADE_ROUTING_PERFORMANCE_PACEDCHOICE_H
#define MONSOONGRADE_ROUTING_PERFORMANCE_PACEDCHOICE_H

#include <monsoongrade/routing/endpointregistry.h>
#include <monsoongrade/routing/prefixcache/cachetransferplan.h>

#include <cstdint>
#include <limits>
#include <vector>

namespace monsoongrade::routing::performance {

// Whether an endpoint can take a prefill now.
enum class PrefillRoom : std::uint8_t {
    Open,
    BacklogFull, // its outstanding prefill is too long
    BatchFull, // its streams need a pause first, see PrefillPacing
    // The prefill is longer than a batch.
    TooLargeForBatch,
    TooLargeForBatchBacklogFull,
};

// Chooses between the endpoints of a pool by cost and room. A request waits for the cheapest one if
// that has no room, as another one would prefill the shared part again, unless another one has
// become cheaper because of the load.
class PacedChoice
{
public:
    struct Candidate
    {
        const EndpointRegistry::Status *endpoint = nullptr;
        std::int64_t tokensToPrefill = 0;
        double cost = std::numeric_limits<double>::infinity();
        PrefillRoom room = PrefillRoom::Open;
        const prefixcache::CacheTransferPlan *copy = nullptr; // of the shared part; null: none

        bool isTooLarge() const { return room >= PrefillRoom::TooLargeForBatch; }
        // True if the request can be placed there only later because of pacing.
        bool isPaced() const { return room >= PrefillRoom::BatchFull; }
    };

    void add(const Candidate &candidate);
    // The endpoint to use, or to wait for unless its room is Open. Its endpoint is null if there
    // was no candidate.
    Candidate best() const;

private:
    Candidate bestForTooLarge() const;

    Candidate cheapest_;
    std::vector<Candidate> all_;
};

} // namespace monsoongrade::routing::performance

#endif // MONSOONGRADE_ROUTING_PERFORMANCE_PACEDCHOICE_H
