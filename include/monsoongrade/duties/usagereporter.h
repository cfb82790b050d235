#ifndef MONSOONGRADE_DUTIES_USAGEREPORTER_H
#define MONSOONGRADE_DUTIES_USAGEREPORTER_H

#include <monsoongrade/duties/duty.h>
#include <monsoongrade/duties/dutyplatform.h>
#include <monsoongrade/duties/usageledger.h>
#include <monsoongrade/duties/usagereportstore.h>
#include <monsoongrade/duties/walltimeestimate.h>

#include <map>
#include <memory>
#include <optional>

namespace monsoongrade::duties {

// The duty of reporting usage: the counts of each window that ended are first fixed in the store
// and then sent as they were fixed, also if this host or another one has to send them again.
class UsageReporter : public Duty
{
public:
    UsageReporter(UsageWindows windows, const UsageLedger &ledger, const WallTimeEstimate &wallTime,
                  UsageReportStore &store, DutyPlatform &platform, const units::Clock &clock);

    void act(FencingToken token) override;
    bool hasOpenCall() const override { return isCalling_; }

private:
    struct Report
    {
        std::optional<UsageCounts> fixed;
        bool isSent = false;
    };

    std::optional<WindowNumber> nextWindow(WallTime now);
    void fix(WindowNumber window);
    void send(WindowNumber window, FencingToken token);
    void removeOld(WindowNumber oldest);
    void retryLater();

    UsageWindows windows_;
    const UsageLedger &ledger_;
    const WallTimeEstimate &wallTime_;
    UsageReportStore &store_;
    DutyPlatform &platform_;
    const units::Clock &clock_;
    std::map<WindowNumber, Report> reports_;
    bool isCalling_ = false;
    units::TimePoint callAgainAt_{};
    // Counts of other hosts arrive for a while after this host became the holder.
    std::optional<units::TimePoint> heldSince_;
    FencingToken heldToken_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace monsoongrade::duties

#endif // MONSOONGRADE_DUTIES_USAGEREPORTER_H
