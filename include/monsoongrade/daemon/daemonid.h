#ifndef MONSOONGRADE_DAEMON_DAEMONID_H
#define MONSOONGRADE_DAEMON_DAEMONID_H

#include <monsoongrade/units/ids.h>

namespace monsoongrade::daemon {

// An id that no earlier or later life of the daemon has: host, role, and the start time in
// microseconds.
units::DaemonId newDaemonId(const units::HostName &host, const char *role);

} // namespace monsoongrade::daemon

#endif // MONSOONGRADE_DAEMON_DAEMONID_H
