#ifndef MONSOONGRADE_DUTIES_DUTYRUNNER_H
#define MONSOONGRADE_DUTIES_DUTYRUNNER_H

#include <monsoongrade/duties/duty.h>
#include <monsoongrade/duties/lease.h>

#include <memory>
#include <string>
#include <vector>

namespace monsoongrade::duties {

// Keeps one lease for any number of duties and lets them act while this host holds it. Logs when
// the lease is gained and lost.
class DutyRunner
{
public:
    DutyRunner(Lease::Settings settings, LeaseStore &store, const units::Clock &clock);

    // The duty must outlive this object.
    void add(Duty &duty) { duties_.push_back(&duty); }
    // To be called several times a second. isCandidate: this host takes the lease if it is free.
    void run(bool isCandidate);
    // Gives the lease back, at a planned stop: at once, or when the last call has ended.
    void stop();
    // The token under which this host may act now; 0 if it may not.
    FencingToken currentToken() const;

private:
    bool hasOpenCall() const;
    void callStore(const Lease::Step &step);
    void noteChange();

    LeaseStore &store_;
    const units::Clock &clock_;
    Lease lease_;
    std::vector<Duty *> duties_;
    bool isCalling_ = false;
    bool isStopping_ = false;
    FencingToken lastToken_;
    // Answers that come after this object is gone find this expired.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace monsoongrade::duties

#endif // MONSOONGRADE_DUTIES_DUTYRUNNER_H
