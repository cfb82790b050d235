#include <monsoongrade/scheduling/ownshare.h>

#include <algorithm>

namespace monsoongrade::scheduling {

std::vector<EndpointPolicy> ownShare(const std::vector<EndpointPolicy> &endpoints, std::size_t rank,
                                     std::size_t routers)
{
    const std::size_t count = std::max<std::size_t>(1, routers);
    std::vector<EndpointPolicy> share;
    // Leftovers are dealt out round: the next endpoint's go on where this one's ended.
    std::size_t dealt = 0;
    for (EndpointPolicy policy : endpoints) {
        const auto slots = static_cast<std::size_t>(std::max(0, policy.slots));
        const std::size_t left = slots % count;
        const bool getsOne = (rank + count - dealt % count) % count < left;
        dealt += left;
        policy.slots = static_cast<int>(slots / count + (getsOne ? 1 : 0));
        if (policy.slots > 0)
            share.push_back(policy);
    }
    if (share.empty() && !endpoints.empty()) {
        share.push_back(endpoints[rank % endpoints.size()]);
        share.back().slots = 1;
    }
    return share;
}

} // namespace monsoongrade::scheduling
