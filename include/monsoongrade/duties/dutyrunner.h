#ifndef MONSOONGRADE_DUTIES_DUTYRUNNER_H
#define MONSOONGRADE_DUTIES_DUTYRUNNER_H

#include <monsoongrade/duties/duty.h>
#include <monsoongrade/duties/lease.h>

#include <memory>
#include <string>
#include <vector>

namespace monsoongrade::duties {

// Maintains one lease for any number of duties and runs them while this host holds it. Logs when
// the lease is gained or lost.
class DutyRunner
{
public:
    DutyRunner(Lease::Settings settings, LeaseStore &store, const units::Clock &clock);

    // The duty must outlive this object.
    void add(Duty &duty) { duties_.push_back(&duty); }
    // Must be called several times a second. isCandidate: this host acquires the lease if it is
    // free.
    void run(bool isCandidate);
    // Releases the lease at a planned stop, as soon as no call is open.
    void stop();
    // The fencing token under which this host may act now; 0 if it may not.
    FencingToken currentToken() const;

private:
    bool hasOpenCall() const;
    void callStore(const Lease::Step &step);
    void logChange();

    LeaseStore &store_;
    const units::Clock &clock_;
    Lease lease_;
    std::vector<Duty *> duties_;
    bool isCalling_ = false;
    bool isStopping_ = false;
    FencingToken lastToken_;
    // Expires with this object, so that later callbacks do nothing.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace monsoongrade::duties

#endif // MONSOONGRADE_DUTIES_DUTYRUNNER_H
