#ifndef MONSOONGRADE_GATEWAY_QUARANTINEPERSISTER_H
#define MONSOONGRADE_GATEWAY_QUARANTINEPERSISTER_H

#include <monsoongrade/httpio/timers.h>
#include <monsoongrade/routing/crashtracker.h>
#include <monsoongrade/routing/quarantinestore.h>

#include <set>

namespace monsoongrade::gateway {

// Saves what is in quarantine, and reads it when the host starts: when all hosts are lost at once,
// none is left to tell. Only hosts that saw an endpoint crash under a request save it, so the calls
// to the store do not grow with the number of hosts.
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
    std::set<routing::RequestIdentity> saved_; // or being saved
};

} // namespace monsoongrade::gateway

#endif // MONSOONGRADE_GATEWAY_QUARANTINEPERSISTER_H
