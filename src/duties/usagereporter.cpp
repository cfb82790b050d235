#include <monsoongrade/duties/usagereporter.h>

#include <monsoongrade/observability/log.h>

namespace monsoongrade::duties {

namespace {

// Time for counts of other hosts to arrive, both after a window's end and after this host became
// the lease holder, as other hosts may only just have started to send it their counts.
constexpr auto SettleTime = std::chrono::milliseconds(1500);
constexpr auto RetryPause = std::chrono::milliseconds(300);
// Stored reports are kept for this many times the period within which they were due, because a call
// that got no answer may still take effect.
constexpr int RetentionFactor = 6;

} // namespace

UsageReporter::UsageReporter(UsageWindows windows, const UsageLedger &ledger,
                             const units::WallClock &wallClock, UsageReportStore &store,
                             DutyPlatform &platform, const units::Clock &clock)
    : windows_(windows)
    , ledger_(ledger)
    , wallClock_(wallClock)
    , store_(store)
    , platform_(platform)
    , clock_(clock)
{
}

void UsageReporter::act(FencingToken token)
{
    const units::TimePoint now = clock_.now();
    if (lastToken_ != token) {
        lastToken_ = token;
        holderSince_ = now;
    }
    if (isCalling_ || now < nextCallAt_ || now < *holderSince_ + SettleTime)
        return;
    const auto window = nextWindow(wallClock_.at(now));
    if (!window)
        return;
    isCalling_ = true;
    if (reports_[*window].stored)
        send(*window, token);
    else
        storeReport(*window);
}

// Returns the oldest finished window that is not reported yet and whose report is not overdue.
std::optional<WindowNumber> UsageReporter::nextWindow(WallTime now)
{
    const WindowNumber oldest = windows_.windowAt(now - windows_.dueWithin);
    removeExpired(oldest);
    for (WindowNumber window = oldest; windows_.endOf(window) + SettleTime <= now;
         window = WindowNumber(window.value() + 1)) {
        if (!reports_[window].isSent)
            return window;
    }
    return std::nullopt;
}

void UsageReporter::removeExpired(WindowNumber oldest)
{
    const WindowNumber keptFrom(oldest.value()
                                - RetentionFactor * windows_.dueWithin / windows_.length);
    while (!reports_.empty() && reports_.begin()->first < keptFrom) {
        if (reports_.begin()->second.isSent)
            store_.remove(reports_.begin()->first);
        reports_.erase(reports_.begin());
    }
}

void UsageReporter::storeReport(WindowNumber window)
{
    const UsageCounts counts = ledger_.totals(window);
    store_.createOrRead(
        window, counts,
        [this, window, alive = std::weak_ptr<bool>(alive_)](std::optional<UsageCounts> stored) {
            if (alive.expired())
                return;
            isCalling_ = false;
            if (stored)
                reports_[window].stored = std::move(stored);
            else
                retryLater();
        });
}

void UsageReporter::send(WindowNumber window, FencingToken token)
{
    const UsageCounts &counts = *reports_[window].stored;
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
            for (const auto &[workspace, count] : *reports_[window].stored)
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
    nextCallAt_ = clock_.now() + RetryPause;
}

} // namespace monsoongrade::duties
