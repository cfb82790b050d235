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

// The duty of reporting usage to the platform. The counts of each finished window are first stored
// and then sent as stored, so that a retry by this or another host sends the same report.
class UsageReporter : public Duty
{
public:
    UsageReporter(UsageWindows windows, const UsageLedger &ledger,
                  const units::WallClock &wallClock, UsageReportStore &store,
                  DutyPlatform &platform, const units::Clock &clock);

    void act(FencingToken token) override;
    bool hasOpenCall() const override { return isCalling_; }

private:
    struct Report
    {
        std::optional<UsageCounts> stored;
        bool isSent = false;
    };

    std::optional<WindowNumber> nextWindow(WallTime now);
    void storeReport(WindowNumber window);
    void send(WindowNumber window, FencingToken token);
    void removeExpired(WindowNumber oldest);
    void retryLater();

    UsageWindows windows_;
    const UsageLedger &ledger_;
    const units::WallClock &wallClock_;
    UsageReportStore &store_;
    DutyPlatform &platform_;
    const units::Clock &clock_;
    std::map<WindowNumber, Report> reports_;
    bool isCalling_ = false;
    units::TimePoint nextCallAt_{};
    // When this host became the lease holder; counts of other hosts arrive for a while after that.
    std::optional<units::TimePoint> holderSince_;
    FencingToken lastToken_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace monsoongrade::duties

#endif // MONSOONGRADE_DUTIES_USAGEREPORTER_H
