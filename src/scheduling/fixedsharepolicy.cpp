#include <monsoongrade/scheduling/fixedsharepolicy.h>

#include <monsoongrade/scheduling/ownshare.h>

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

void FixedSharePolicy::configure(const CellPolicy &policy)
{
    CellPolicy own = policy;
    own.endpoints = ownShare(policy.endpoints, static_cast<std::size_t>(index_),
                             static_cast<std::size_t>(count_));
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
