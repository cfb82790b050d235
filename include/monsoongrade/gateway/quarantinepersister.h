#ifndef MONSOONGRADE_GATEWAY_QUARANTINEPERSISTER_H
#define MONSOONGRADE_GATEWAY_QUARANTINEPERSISTER_H

#include <monsoongrade/httpio/timers.h>
#include <monsoongrade/routing/crashtracker.h>
#include <monsoongrade/routing/quarantinestore.h>

#include <set>

namespace monsoongrade::gateway {

// Saves quarantined requests to the store and loads them when the host starts, so that the
// quarantine survives the loss of all hosts at once. Only hosts that saw an endpoint crash while it
// ran a request save that request, so the number of store calls does not grow with the fleet.
class QuarantinePersister
{
public:
    QuarantinePersister(httpio::Timers &timers, routing::CrashTracker &crashes,
                        routing::QuarantineStore &store);

    void start();

private:
    void read();
    void onRead(const std::vector<routing::CrashUpdate> &kept);
    void round();

    httpio::Timers &timers_;
    routing::CrashTracker &crashes_;
    routing::QuarantineStore &store_;
    std::set<routing::RequestIdentity> saved_; // saved, or being saved
};

} // namespace monsoongrade::gateway

#endif // MONSOONGRADE_GATEWAY_QUARANTINEPERSISTER_H
