#include <monsoongrade/duties/usagereporter.h>

#include <monsoongrade/observability/log.h>

namespace monsoongrade::duties {

namespace {

// Until then counts of other hosts may still be on their way: after a window's end, and after this
// host became the holder, who may just have been named to them as one who keeps counts.
constexpr auto SettleTime = std::chrono::milliseconds(1500);
constexpr auto RetryPause = std::chrono::milliseconds(300);
// A report that no host would send any more is removed from the store after so many times the
// time within which it was due: a call that got no answer may still take effect.
constexpr int KeptDueTimes = 6;

} // namespace

UsageReporter::UsageReporter(UsageWindows windows, const UsageLedger &ledger,
                             const WallTimeEstimate &wallTime, UsageReportStore &store,
                             DutyPlatform &platform, const units::Clock &clock)
    : windows_(windows)
    , ledger_(ledger)
    , wallTime_(wallTime)
    , store_(store)
    , platform_(platform)
    , clock_(clock)
{
}

void UsageReporter::act(FencingToken token)
{
    const units::TimePoint now = clock_.now();
    if (heldToken_ != token) {
        heldToken_ = token;
        heldSince_ = now;
    }
    if (isCalling_ || now < callAgainAt_ || now < *heldSince_ + SettleTime)
        return;
    const auto window = nextWindow(wallTime_.at(now));
    if (!window)
        return;
    isCalling_ = true;
    if (reports_[*window].fixed)
        send(*window, token);
    else
        fix(*window);
}

// The oldest window that is over, not yet reported, and whose report is not overdue.
std::optional<WindowNumber> UsageReporter::nextWindow(WallTime now)
{
    const WindowNumber oldest = windows_.windowAt(now - windows_.dueWithin);
    removeOld(oldest);
    for (WindowNumber window = oldest; windows_.endOf(window) + SettleTime <= now;
         window = WindowNumber(window.value() + 1)) {
        if (!reports_[window].isSent)
            return window;
    }
    return std::nullopt;
}

void UsageReporter::removeOld(WindowNumber oldest)
{
    const WindowNumber keptFrom(oldest.value()
                                - KeptDueTimes * windows_.dueWithin / windows_.length);
    while (!reports_.empty() && reports_.begin()->first < keptFrom) {
        if (reports_.begin()->second.isSent)
            store_.remove(reports_.begin()->first);
        reports_.erase(reports_.begin());
    }
}

void UsageReporter::fix(WindowNumber window)
{
    const UsageCounts counts = ledger_.totals(window);
    store_.createOrRead(
        window, counts,
        [this, window, alive = std::weak_ptr<bool>(alive_)](std::optional<UsageCounts> fixed) {
            if (alive.expired())
                return;
            isCalling_ = false;
            if (fixed)
                reports_[window].fixed = std::move(fixed);
            else
                retryLater();
        });
}

void UsageReporter::send(WindowNumber window, FencingToken token)
{
    const UsageCounts &counts = *reports_[window].fixed;
    platform_.reportUsage(
        token, window, counts,
        [this, window, token, alive = std::weak_ptr<bool>(alive_)](CallOutcome outcome) {
            if (alive.expired())
                return;
            isCalling_ = false;
            reports_[window].isSent = outcome == CallOutcome::Accepted;
            if (outcome != CallOutcome::Accepted)
                retryLater();
            std::uint64_t requests = 0;
            for (const auto &[workspace, count] : *reports_[window].fixed)
                requests += count;
            observability::log(observability::LogLevel::Info, "usage-report-sent",
                               {{"window", window.value()},
                                {"token", token.value()},
                                {"outcome", callOutcomeName(outcome)},
                                {"requests", requests}});
        });
}

void UsageReporter::retryLater()
{
    callAgainAt_ = clock_.now() + RetryPause;
}

} // namespace monsoongrade::duties
