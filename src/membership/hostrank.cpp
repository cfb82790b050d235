#include <monsoongrade/membership/hostrank.h>

#include <monsoongrade/membership/rendezvous.h>

#include <algorithm>

namespace monsoongrade::membership {

std::optional<HostRank> hostRank(const std::string &task, const units::HostName &host,
                                 const FleetView &view, std::size_t most)
{
    const std::vector<Member> live = view.liveEntryHosts();
    if (live.size() * 2 <= view.entryHosts.size())
        return std::nullopt;
    const std::vector<Member> order = rendezvousOrder(task, live);
    const std::size_t count = std::min(most, order.size());
    for (std::size_t rank = 0; rank < count; ++rank) {
        if (order[rank].host == host)
            return HostRank{rank, count};
    }
    return std::nullopt;
}

} // namespace monsoongrade::membership
