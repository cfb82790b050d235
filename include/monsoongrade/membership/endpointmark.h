#ifndef MONSOONGRADE_MEMBERSHIP_ENDPOINTMARK_H
#define MONSOONGRADE_MEMBERSHIP_ENDPOINTMARK_H

#include <monsoongrade/units/ids.h>

#include <cstdint>
#include <tuple>

namespace monsoongrade::membership {

// In the order in which one overrules the other within an epoch.
enum class EndpointState : std::uint8_t { Live, Suspected, Leaving };

// What the daemons tell one another of an endpoint host. A later epoch overrules an earlier.
struct EndpointMark
{
    units::HostName host;
    std::uint64_t epoch = 0;
    EndpointState state = EndpointState::Live;

    friend bool operator<(const EndpointMark &a, const EndpointMark &b)
    {
        return std::tie(a.epoch, a.state) < std::tie(b.epoch, b.state);
    }
};

} // namespace monsoongrade::membership

#endif // MONSOONGRADE_MEMBERSHIP_ENDPOINTMARK_H
