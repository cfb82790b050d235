#ifndef MONSOONGRADE_TESTS_SCHEDULING_CELLORACLE_H
#define MONSOONGRADE_TESTS_SCHEDULING_CELLORACLE_H

#include <monsoongrade/scheduling/cellscheduler.h>
#include <monsoongrade/units/manualclock.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace monsoongrade::scheduling {

// What a decision may be, told by counting alone: who waits, who holds what, and what the
// endpoints allow. Knows nothing of fair shares or estimates. Collects each broken promise.
class CellOracle : public DecisionSink
{
public:
    struct Waiting
    {
        SlotAsk ask;
        units::Tier tier;
        units::TimePoint arrived;
        // Whether an answer of its class had ended before it asked.
        bool classSeen = false;
    };
    struct Held
    {
        SlotAsk ask;
        units::EndpointId endpoint;
        // Whether its tokens count at its release: it was granted here, and an answer of its class
        // had been seen.
        bool counts = false;
        bool guaranteed = false;
    };

    explicit CellOracle(const units::Clock &clock)
        : clock_(clock)
    {
    }

    void asked(const SlotAsk &ask);
    // Takes note of time and tokens, and of the slot that is free.
    void released(const SlotRelease &release);
    // Something of the class began now.
    void begun(const units::ClassName &className) { begun_[className] = clock_.now(); }
    void cancelled(const units::RequestId &request);
    void granted(const SlotGrant &grant) override;
    void refused(const SlotRefusal &refusal) override;
    // After a tick nobody may wait whose caller has left, unless a slot is due to it.
    void checkNobodyWaitsInVain();
    // The sums must close after every command.
    void compare(const CellScheduler &scheduler);

    CellPolicy policy;
    std::set<units::EndpointId> leaving;
    std::set<units::EndpointId> suspected;
    units::DaemonId losing;
    std::map<units::RequestId, Waiting> waiting;
    std::map<units::GrantId, Held> held;
    std::vector<std::string> broken;

private:
    void check(bool holds, const std::string &message);
    void checkPatience(const Waiting &ask, const std::string &what);
    void checkOrder(const Waiting &ask, const SlotGrant &grant);
    void checkShed(const Waiting &ask);
    bool leavesTooSoon(const Waiting &ask) const;
    void checkDeadline(const Waiting &ask, units::ResultCode code);
    // Those in the queue's places; an ask that was passed over stands outside them.
    std::size_t count(units::Tier tier) const;
    int inFlight(const units::EndpointId &endpoint) const;

    const units::Clock &clock_;
    std::map<units::RequestId, units::TimePoint> passedOver_;
    std::map<units::ClassName, units::TimePoint> begun_;
    std::set<units::ClassName> seen_;
    // By the guess of 100 while the answer runs; then those used, but of a guaranteed grant no more
    // than guessed.
    double tokens_ = 0;
    double guaranteedTokens_ = 0;
    // Of the answers that ended, by class.
    std::map<units::ClassName, units::Duration> shortest_;
    std::map<units::ClassName, units::Duration> longest_;
};

} // namespace monsoongrade::scheduling

#endif // MONSOONGRADE_TESTS_SCHEDULING_CELLORACLE_H
