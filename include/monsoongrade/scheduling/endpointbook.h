#ifndef MONSOONGRADE_SCHEDULING_ENDPOINTBOOK_H
#define MONSOONGRADE_SCHEDULING_ENDPOINTBOOK_H

#include <monsoongrade/scheduling/cellpolicy.h>
#include <monsoongrade/scheduling/slotask.h>

#include <map>
#include <optional>

namespace monsoongrade::scheduling {

// What a cell knows about its endpoints. Grants in flight are counted here, so the choice does
// not depend on load reports, which lag.
class EndpointBook
{
public:
    void setEndpoints(const std::vector<EndpointPolicy> &endpoints);

    // The endpoint with the least expected wait that may take the ask now; nothing if all are
    // full, leaving or suspected. Endpoints to avoid are taken only if no other one lives.
    std::optional<units::EndpointId> choose(const SlotAsk &ask) const;

    void begin(const units::EndpointId &endpoint, units::PrefixHash prefix, double tokens);
    void end(const units::EndpointId &endpoint, double estimatedTokens);
    void noteSpeed(const units::EndpointId &endpoint, double tokensPerSecond);

    void setLeaving(const units::EndpointId &endpoint, bool leaving);
    void setSuspected(const units::EndpointId &endpoint, bool suspected);

    bool hasFreeSlot() const;
    bool hasLiveEndpoint() const;
    int totalSlots() const;

private:
    struct EndpointState
    {
        int slots = 1;
        int inFlight = 0;
        double tokensInFlight = 0;
        double tokensPerSecond = 30;
        bool configured = false;
        bool leaving = false;
        bool suspected = false;
        units::PrefixHash lastPrefix;

        bool isLive() const { return configured && !leaving && !suspected; }
        bool isFree() const { return isLive() && inFlight < slots; }
    };

    static double expectedWait(const EndpointState &state, units::PrefixHash prefix);

    std::map<units::EndpointId, EndpointState> endpoints_;
};

} // namespace monsoongrade::scheduling

#endif // MONSOONGRADE_SCHEDULING_ENDPOINTBOOK_H
