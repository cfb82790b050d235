#ifndef MONSOONGRADE_ROUTING_ADMISSIONWINDOW_H
#define MONSOONGRADE_ROUTING_ADMISSIONWINDOW_H

#include <monsoongrade/routing/ratelimitupdate.h>
#include <monsoongrade/units/clock.h>

namespace monsoongrade::routing {

// Learns how many requests one host may have open at an endpoint that survives few rejections for
// want of room. The endpoint may have less room than slots: it holds requests that were placed by a
// host which is gone, or its memory is full. The host goes beyond the number of open requests that
// the endpoint has accepted before by only as many as may all be rejected.
//
// Starts with no accepted request. Rejections lower the number, so that it needs no maximum age;
// its upper bound is the number of slots.
class AdmissionWindow
{
public:
    // Time after a rejection until another one may be risked, by who may cause this number of
    // rejections a second. At most 5 s.
    static std::chrono::duration<double> pauseAfterRejection(RequestsPerSecond rejections);

    // The endpoint has accepted a request that made this number of open ones.
    void onAccepted(int open);
    // The endpoint has rejected a request and has this number of others of the host.
    void onRejected(int open, RequestsPerSecond maxRejections, units::TimePoint now);
    // Whether the host may send one more request beside this number of open ones.
    bool admits(int open, RequestsPerSecond maxRejections, units::TimePoint now) const;

private:
    int accepted_ = 0; // largest number of open requests that the endpoint has accepted
    units::TimePoint growsFrom_{}; // after a rejection
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_ADMISSIONWINDOW_H
