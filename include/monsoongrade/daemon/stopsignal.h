#ifndef MONSOONGRADE_DAEMON_STOPSIGNAL_H
#define MONSOONGRADE_DAEMON_STOPSIGNAL_H

namespace monsoongrade::daemon {

// Blocks SIGTERM and SIGINT for this thread and all it starts later. Call it first in main.
void blockStopSignals();

// Waits for one of the two.
void waitForStopSignal();

} // namespace monsoongrade::daemon

#endif // MONSOONGRADE_DAEMON_STOPSIGNAL_H
