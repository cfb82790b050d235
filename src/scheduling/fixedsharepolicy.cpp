#include <monsoongrade/scheduling/fixedsharepolicy.h>

#include <algorithm>

namespace monsoongrade::scheduling {

FixedSharePolicy::FixedSharePolicy(const units::Clock &clock, DecisionSink &sink)
    : scheduler_(clock, sink)
{
}

void FixedSharePolicy::setRouters(int index, int count)
{
    index_ = index;
    count_ = std::max(1, count);
}

// The remainder of each division goes round the routers, so that the shares of all add up to
// exactly the endpoint's slots and no router gets all the remainders.
void FixedSharePolicy::configure(const CellPolicy &policy)
{
    CellPolicy own = policy;
    own.endpoints.clear();
    for (std::size_t i = 0; i < policy.endpoints.size(); ++i) {
        EndpointPolicy endpoint = policy.endpoints[i];
        const int remainder = endpoint.slots % count_;
        const int turn = (index_ + static_cast<int>(i)) % count_;
        endpoint.slots = endpoint.slots / count_ + (turn < remainder ? 1 : 0);
        if (endpoint.slots > 0)
            own.endpoints.push_back(endpoint);
    }
    scheduler_.configure(own);
}

void FixedSharePolicy::setLeaving(const units::EndpointId &endpoint, bool leaving)
{
    scheduler_.setLeaving(endpoint, leaving);
}

void FixedSharePolicy::setSuspected(const units::EndpointId &endpoint, bool suspected)
{
    scheduler_.setSuspected(endpoint, suspected);
}

} // namespace monsoongrade::scheduling
