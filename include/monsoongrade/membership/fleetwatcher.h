#ifndef MONSOONGRADE_MEMBERSHIP_FLEETWATCHER_H
#define MONSOONGRADE_MEMBERSHIP_FLEETWATCHER_H

#include <monsoongrade/membership/membership.h>
#include <monsoongrade/platform/hostlist.h>

#include <atomic>
#include <thread>

namespace monsoongrade::membership {

// How long a daemon waits between two reads of the host list. The whole fleet makes about eight
// reads a second, however large it is: whoever reads a change first tells all others.
units::Duration listPollPeriod(std::size_t daemons);

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
