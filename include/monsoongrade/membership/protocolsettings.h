#ifndef MONSOONGRADE_MEMBERSHIP_PROTOCOLSETTINGS_H
#define MONSOONGRADE_MEMBERSHIP_PROTOCOLSETTINGS_H

#include <monsoongrade/units/clock.h>

#include <cstddef>

namespace monsoongrade::membership {

// Times and bounds of the membership protocol; docs/design/membership.md gives the reasons.
struct ProtocolSettings
{
    units::Duration probePeriod = std::chrono::milliseconds(500);
    // After this long without an answer others are asked to ping the member.
    units::Duration directTimeout = std::chrono::milliseconds(300);
    // After this long without any answer the member is suspected.
    units::Duration probeTimeout = std::chrono::milliseconds(900);
    units::Duration suspicionTime = std::chrono::seconds(5);
    units::Duration gossipPeriod = std::chrono::milliseconds(100);
    units::Duration syncPeriod = std::chrono::seconds(2);
    // Without a tick for longer than this the process itself was frozen.
    units::Duration pauseThreshold = std::chrono::milliseconds(700);
    // Reads of the host list may be older than the truth by up to this.
    units::Duration listLagBound = std::chrono::seconds(60);
    // How long a dead member that the host list no longer names is remembered.
    units::Duration forgetAfter = std::chrono::minutes(10);
    // A process that is this young may claim a life above one it hears of.
    units::Duration claimLifeWithin = std::chrono::seconds(30);
    std::size_t ringNeighbours = 4;
    std::size_t randomNeighbours = 4;
    std::size_t helpers = 3;
    std::size_t gossipFanout = 4;
    std::size_t mostNews = 16;
};

} // namespace monsoongrade::membership

#endif // MONSOONGRADE_MEMBERSHIP_PROTOCOLSETTINGS_H
