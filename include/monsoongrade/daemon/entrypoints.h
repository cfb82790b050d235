#ifndef MONSOONGRADE_DAEMON_ENTRYPOINTS_H
#define MONSOONGRADE_DAEMON_ENTRYPOINTS_H

#include <monsoongrade/membership/fleetview.h>
#include <monsoongrade/units/clock.h>

#include <cstdint>
#include <set>
#include <string>

namespace monsoongrade::daemon {

// The answer to /v1/entry-points: addresses of hosts that take new callers, those of the given
// failure domain first, with how long to keep them. Drained hosts are left out.
std::string entryPointsAnswer(const membership::FleetView &fleet,
                              const std::set<std::string> &drained,
                              const units::FailureDomain &near, std::uint16_t port,
                              units::Duration keep);

} // namespace monsoongrade::daemon

#endif // MONSOONGRADE_DAEMON_ENTRYPOINTS_H
