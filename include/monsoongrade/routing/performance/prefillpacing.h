#ifndef MONSOONGRADE_ROUTING_PERFORMANCE_PREFILLPACING_H
#define MONSOONGRADE_ROUTING_PERFORMANCE_PREFILLPACING_H

#include <monsoongrade/routing/endpointloads.h>

namespace monsoongrade::routing::performance {

// Decides whether an endpoint may prefill another long prompt now, for the sake of the streams that
// run there.
//
// An engine makes one token for each stream per step, and a step with a full chunk of a prompt
// takes several times as long as one without. Where an event of the streams would take longer than
// their smallest permitted gap, prompts are prefilled in batches that fit into that gap. The next
// batch starts after the first events of the previous one: by then each stream has had an event.
class PrefillPacing
{
public:
    // tokensPerMs: prefill rate of the endpoint. smallestGap: of the streams that count; 0: none.
    PrefillPacing(double tokensPerMs, int tokensPerEvent, units::Duration smallestGap);

    // Time of one event of a stream while the endpoint prefills nothing.
    static units::Duration eventTime(int tokensPerEvent);
    // True if events come too late while the endpoint prefills without interruption.
    bool isPacingNeeded() const;
    // Longest time that the prefills of one batch may take.
    units::Duration maxBatch() const;
    // True if the prefill is not longer than a batch.
    bool fitsInBatch(std::int64_t newPrefill) const;
    // True if the prefill may be added to the batch that the load contains, or start a new one.
    bool mayPlace(const EndpointLoad &load, std::int64_t newPrefill, units::TimePoint now) const;

private:
    units::Duration timeOf(std::int64_t tokens) const;

    double tokensPerMs_;
    int tokensPerEvent_;
    units::Duration smallestGap_;
};

} // namespace monsoongrade::routing::performance

#endif // MONSOONGRADE_ROUTING_PERFORMANCE_PREFILLPACING_H
