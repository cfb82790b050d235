#ifndef MONSOONGRADE_SCHEDULING_ENDPOINTBOOK_H
#define MONSOONGRADE_SCHEDULING_ENDPOINTBOOK_H

#include <monsoongrade/scheduling/cellpolicy.h>
#include <monsoongrade/scheduling/endpointstate.h>
#include <monsoongrade/scheduling/slotask.h>
#include <monsoongrade/scheduling/slotrelease.h>

#include <map>
#include <optional>

namespace monsoongrade::scheduling {

// What a cell knows about its endpoints. Grants in flight are counted here, so the choice does
// not depend on load reports, which lag. All operations are linear in the endpoints, which are
// few in a cell, and independent of how many asks wait.
class EndpointBook
{
public:
    void setEndpoints(const std::vector<EndpointPolicy> &endpoints);

    // The endpoint with the least expected wait that may take the ask now; nothing if all are
    // full, leaving or suspected. Endpoints to avoid are taken only if no other one lives.
    std::optional<units::EndpointId> choose(const SlotAsk &ask, units::TimePoint now) const;

    void begin(const units::EndpointId &endpoint, units::PrefixHash prefix, double tokens,
               units::TimePoint now);
    // Frees the slot without learning anything.
    void end(const units::EndpointId &endpoint, double estimatedTokens);
    // Learns the speed and the health from what a slot was used for. Call it before end().
    void learn(const units::EndpointId &endpoint, const SlotRelease &release, units::TimePoint now);
    // Finds the endpoints that are silent: nothing finished for much longer than their answers
    // should take.
    void tick(units::TimePoint now);

    void setLeaving(const units::EndpointId &endpoint, bool leaving);
    void setSuspected(const units::EndpointId &endpoint, bool suspected);

    // Free slots at the present limits, and slots in all, of the live endpoints.
    int freeSlots(units::TimePoint now) const;
    int liveSlots() const;
    bool hasFreeSlot(units::TimePoint now) const;
    // False if nothing can be granted until the configuration or the fleet changes.
    bool hasFuture() const;
    // Of all live endpoints' streams together, at their present limits.
    double tokensPerSecond() const;
    // Of one stream of this endpoint.
    double tokensPerSecondOf(const units::EndpointId &endpoint) const;
    // The present limit of one endpoint; 0 if it is not known.
    int limitOf(const units::EndpointId &endpoint) const;

private:
    double peerSpeed(const units::EndpointId &endpoint) const;
    static double expectedWait(const EndpointState &state, units::PrefixHash prefix);

    std::map<units::EndpointId, EndpointState> endpoints_;
};

} // namespace monsoongrade::scheduling

#endif // MONSOONGRADE_SCHEDULING_ENDPOINTBOOK_H
