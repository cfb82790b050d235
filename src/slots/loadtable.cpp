#include <monsoongrade/slots/loadtable.h>

#include <monsoongrade/scheduling/lessloaded.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <vector>

namespace monsoongrade::slots {

namespace {

// Running and waiting as many as run at once: nobody is added to such a queue.
constexpr double FullLoad = 2.0;

int number(const nlohmann::json &body, const char *key)
{
    const auto found = body.find(key);
    return found != body.end() && found->is_number_integer() ? std::max(0, found->get<int>()) : 0;
}

} // namespace

void LoadTable::report(const units::EndpointId &endpoint, const std::string &body)
{
    const auto parsed = nlohmann::json::parse(body, nullptr, false);
    if (!parsed.is_object())
        return;
    Load &load = loads_[endpoint];
    load.running = number(parsed, "running");
    load.waiting = number(parsed, "waiting");
    load.draining = parsed.contains("draining") && parsed["draining"] == true;
    load.answers = true;
}

void LoadTable::reportFailure(const units::EndpointId &endpoint)
{
    loads_[endpoint].answers = false;
}

std::optional<units::EndpointId>
LoadTable::choose(const configuration::Configuration &configuration,
                  const membership::FleetView &fleet, const scheduling::SlotAsk &ask)
{
    const auto pool = configuration.pools.find(ask.pool);
    if (pool == configuration.pools.end())
        return std::nullopt;
    std::vector<const configuration::EndpointConfig *> live;
    std::vector<const configuration::EndpointConfig *> notAvoided;
    for (const auto &endpoint : pool->second.endpoints) {
        if (!isLive(configuration, endpoint, fleet))
            continue;
        live.push_back(&endpoint);
        if (std::find(ask.avoid.begin(), ask.avoid.end(), endpoint.id) == ask.avoid.end())
            notAvoided.push_back(&endpoint);
    }
    const auto &from = notAvoided.empty() ? live : notAvoided;
    if (from.empty())
        return std::nullopt;
    const auto *best = scheduling::lessLoadedOfTwo(
        from, [this](const auto *each) { return loadOf(*each); }, random_);
    if (loadOf(*best) >= FullLoad)
        return std::nullopt;
    return best->id;
}

bool LoadTable::isLive(const configuration::Configuration &configuration,
                       const configuration::EndpointConfig &endpoint,
                       const membership::FleetView &fleet) const
{
    if (fleet.leavingEndpointHosts.count(endpoint.host) > 0 || configuration.isDrained(endpoint))
        return false;
    const auto found = loads_.find(endpoint.id);
    return found == loads_.end() || (found->second.answers && !found->second.draining);
}

double LoadTable::loadOf(const configuration::EndpointConfig &endpoint) const
{
    const auto found = loads_.find(endpoint.id);
    if (found == loads_.end())
        return 0;
    return static_cast<double>(found->second.running + found->second.waiting)
        / std::max(1, endpoint.slots);
}

} // namespace monsoongrade::slots
