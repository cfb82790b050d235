#ifndef MONSOONGRADE_ROUTING_PERFORMANCE_PREFILLPERIODS_H
#define MONSOONGRADE_ROUTING_PERFORMANCE_PREFILLPERIODS_H

#include <monsoongrade/routing/endpointstatus.h>

#include <cstdint>
#include <optional>
#include <unordered_map>

namespace monsoongrade::routing::performance {

// Measures busy periods of endpoints: from the first outstanding prefill to the first event of the
// last one. A period longer than 1 s is divided at a first event, because an endpoint under load
// may never be idle.
//
// The fixed time of a first event (network, engine steps) passes for several requests at once. An
// endpoint with short prompts can therefore be idle for parts of a busy period. The idle time is
// computed from the rate that is assumed for the endpoint.
class PrefillPeriods
{
public:
    struct Sample
    {
        std::int64_t tokens = 0;
        units::Duration took{}; // without the time in which the endpoint was idle
        bool includesFixedTime = false; // of one first event
    };

    // tokensPerMs: rate assumed for the endpoint. 0: unknown, the period gives no sample. With a
    // rate that is a guess, the idle time would be wrong by more than speeds differ.
    void onPlaced(const EndpointStatus &endpoint, std::int64_t tokens, double tokensPerMs,
                  units::TimePoint now);
    // The endpoint has prefilled the tokens of a request. Returns a sample if a period has ended.
    std::optional<Sample> onFirstEvent(const EndpointStatus &endpoint, std::int64_t tokens,
                                       double tokensPerMs, units::TimePoint now);
    // The tokens are no longer expected to be prefilled. It is unknown how many of them were, so
    // the period gives no sample.
    void onRemoved(const EndpointStatus &endpoint, std::int64_t tokens);

private:
    struct Period
    {
        units::TimePoint startedAt{};
        units::TimePoint readyAt{}; // when the endpoint has done all work, at the assumed rate
        units::Duration idle{};
        std::int64_t outstanding = 0;
        std::int64_t done = 0;
        bool startedIdle = true;
        bool isUsable = true;
    };

    std::unordered_map<const EndpointStatus *, Period> periods_; // of busy endpoints
};

} // namespace monsoongrade::routing::performance

#endif // MONSOONGRADE_ROUTING_PERFORMANCE_PREFILLPERIODS_H
