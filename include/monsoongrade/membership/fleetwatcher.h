#ifndef MONSOONGRADE_MEMBERSHIP_FLEETWATCHER_H
#define MONSOONGRADE_MEMBERSHIP_FLEETWATCHER_H

#include <monsoongrade/membership/fleetholder.h>
#include <monsoongrade/platform/hostlist.h>

#include <atomic>
#include <thread>

namespace monsoongrade::membership {

// Reads the platform's host list once a second on a thread of its own and publishes the view.
class FleetWatcher
{
public:
    FleetWatcher(platform::HostList &hosts, FleetHolder &holder);
    ~FleetWatcher();

private:
    void run();

    platform::HostList &hosts_;
    FleetHolder &holder_;
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

} // namespace monsoongrade::membership

#endif // MONSOONGRADE_MEMBERSHIP_FLEETWATCHER_H
