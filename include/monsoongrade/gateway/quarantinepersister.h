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
//
// Hosts that have saved or loaded a request look for it at intervals. Once it is gone from the
// store they lift the quarantine on all hosts, so that an operator can end it.
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
    // Looks for the requests in the store.
    void check();
    void checkEach(const std::vector<routing::CrashUpdate> &kept);
    void liftIfGone(const routing::RequestIdentity &request);
    void dropEnded();

    httpio::Timers &timers_;
    routing::CrashTracker &crashes_;
    routing::QuarantineStore &store_;
    std::set<routing::RequestIdentity> saved_; // saved, or being saved
    std::set<routing::RequestIdentity> stored_; // quarantined and known to be in the store
};

} // namespace monsoongrade::gateway

#endif // MONSOONGRADE_GATEWAY_QUARANTINEPERSISTER_H
