#ifndef MONSOONGRADE_SLOTS_LOADTABLE_H
#define MONSOONGRADE_SLOTS_LOADTABLE_H

#include <monsoongrade/configuration/configuration.h>
#include <monsoongrade/membership/fleetview.h>
#include <monsoongrade/scheduling/slotask.h>

#include <map>
#include <optional>
#include <random>
#include <string>

namespace monsoongrade::slots {

// What endpoints reported of their load. Pure: no clock, no thread.
class LoadTable
{
public:
    explicit LoadTable(std::uint32_t seed)
        : random_(seed)
    {
    }

    // Takes the body of an endpoint's answer to GET /load; ignores one that it can't read.
    void report(const units::EndpointId &endpoint, const std::string &body);
    // The endpoint did not answer; it is not chosen until it does.
    void reportFailure(const units::EndpointId &endpoint);

    // The less loaded of two endpoints picked at random among those that answer, are not
    // leaving, and are not to be avoided while another one lives. Nothing where both have as
    // many waiting as they run at once, or none is left.
    std::optional<units::EndpointId> choose(const configuration::Configuration &configuration,
                                            const membership::FleetView &fleet,
                                            const scheduling::SlotAsk &ask);

private:
    struct Load
    {
        int running = 0;
        int waiting = 0;
        bool draining = false;
        bool answers = true;
    };

    bool isLive(const configuration::Configuration &configuration,
                const configuration::EndpointConfig &endpoint,
                const membership::FleetView &fleet) const;
    double loadOf(const configuration::EndpointConfig &endpoint) const;

    std::map<units::EndpointId, Load> loads_;
    std::mt19937 random_;
};

} // namespace monsoongrade::slots

#endif // MONSOONGRADE_SLOTS_LOADTABLE_H
