#include <monsoongrade/daemon/statuspage.h>

#include <nlohmann/json.hpp>

namespace monsoongrade::daemon {

namespace {

using nlohmann::json;

double seconds(units::Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

std::string dump(const json &value)
{
    return value.dump(1, ' ', false, json::error_handler_t::replace) + "\n";
}

} // namespace

std::string statusPage(const DaemonStatus &status,
                       const configuration::Configuration *configuration,
                       const membership::FleetView &fleet)
{
    const bool isRouter = status.role == membership::DaemonRole::Router;
    json out{{"daemon", status.daemon.value()},
             {"role", isRouter ? "router" : "scheduler"},
             {"failure_domain", status.failureDomain.value()},
             {"leaving", status.leaving},
             {isRouter ? "open_requests" : "routers_using", status.open},
             {"up_seconds", seconds(status.upSince)},
             {"generation", configuration == nullptr ? 0 : configuration->generation.value()},
             {"generation_age_seconds", seconds(status.configurationAge)}};
    out["hosts"] = json::array();
    for (const membership::Member &member : fleet.entryHosts)
        out["hosts"].push_back({{"host", member.host.value()},
                                {"failure_domain", member.failureDomain.value()},
                                {"leaving", member.leaving},
                                {"suspected", member.suspected}});
    out["leaving_endpoint_hosts"] = json::array();
    for (const units::HostName &host : fleet.leavingEndpointHosts)
        out["leaving_endpoint_hosts"].push_back(host.value());
    out["drained"] = json::array();
    if (configuration != nullptr)
        out["drained"] = configuration->drained;
    return dump(out);
}

std::string explainPage(const units::RequestId &request,
                        const std::vector<requests::Decision> &decisions)
{
    json out{{"request", request.value()}, {"decisions", json::array()}};
    for (const requests::Decision &decision : decisions) {
        const auto after = decision.at - decisions.front().at;
        out["decisions"].push_back(
            {{"after_ms", seconds(after) * 1000},
             {"decision", std::string(requests::decisionKindName(decision.kind))},
             {"code", static_cast<int>(decision.code)},
             {"reason", std::string(units::resultCodeName(decision.code))},
             {"detail", decision.detail}});
    }
    return dump(out);
}

} // namespace monsoongrade::daemon
