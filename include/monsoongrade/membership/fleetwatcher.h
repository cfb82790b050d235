#ifndef MONSOONGRADE_MEMBERSHIP_FLEETWATCHER_H
#define MONSOONGRADE_MEMBERSHIP_FLEETWATCHER_H

#include <monsoongrade/membership/membership.h>
#include <monsoongrade/platform/hostlist.h>

#include <atomic>
#include <thread>

namespace monsoongrade::membership {

// Reads the platform's host list on a thread of its own and hands it to the membership.
class FleetWatcher
{
public:
    FleetWatcher(platform::HostList &hosts, Membership &membership);
    ~FleetWatcher();

private:
    void run();
    void pollOnce();

    platform::HostList &hosts_;
    Membership &membership_;
    bool failing_ = false;
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

} // namespace monsoongrade::membership

#endif // MONSOONGRADE_MEMBERSHIP_FLEETWATCHER_H
