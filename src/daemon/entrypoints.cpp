#include <monsoongrade/daemon/entrypoints.h>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace monsoongrade::daemon {

std::string entryPointsAnswer(const membership::FleetView &fleet,
                              const std::set<std::string> &drained,
                              const units::FailureDomain &near, std::uint16_t port,
                              units::Duration keep)
{
    auto members = fleet.liveEntryHosts();
    std::stable_sort(members.begin(), members.end(), [&](const auto &a, const auto &b) {
        return (a.failureDomain == near) > (b.failureDomain == near);
    });
    nlohmann::json answer;
    answer["entry_points"] = nlohmann::json::array();
    for (const membership::Member &member : members) {
        if (drained.count(member.host.value()) > 0)
            continue;
        answer["entry_points"].push_back(
            {{"host", member.host.value()},
             {"url", "http://" + member.address + ":" + std::to_string(port)},
             {"failure_domain", member.failureDomain.value()}});
    }
    answer["keep_seconds"] = std::chrono::duration<double>(keep).count();
    return answer.dump();
}

} // namespace monsoongrade::daemon
