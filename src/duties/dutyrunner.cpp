#include <monsoongrade/duties/dutyrunner.h>

#include <monsoongrade/observability/log.h>

#include <algorithm>

namespace monsoongrade::duties {

DutyRunner::DutyRunner(Lease::Settings settings, LeaseStore &store, const units::Clock &clock)
    : store_(store)
    , clock_(clock)
    , lease_(std::move(settings), clock.now())
{
}

void DutyRunner::run(bool isCandidate)
{
    // The lease is kept while a call is open: the call could reach the platform after the first
    // one of the next holder.
    if (isStopping_ && !hasOpenCall())
        lease_.release();
    logChange();
    if (!isCalling_) {
        const Lease::Step step = lease_.next(isCandidate, clock_.now());
        if (step.call != Lease::Call::None)
            callStore(step);
    }
    for (Duty *duty : duties_) {
        // Checked for each duty, since running one may take a while.
        if (!isStopping_ && lease_.isHeldFor(clock_.now(), MaxCallTime))
            duty->act(lease_.token());
    }
}

void DutyRunner::stop()
{
    isStopping_ = true;
    run(false);
}

bool DutyRunner::hasOpenCall() const
{
    return std::any_of(duties_.begin(), duties_.end(),
                       [](const Duty *duty) { return duty->hasOpenCall(); });
}

FencingToken DutyRunner::currentToken() const
{
    const bool mayAct = !isStopping_ && lease_.isHeldFor(clock_.now(), units::Duration::zero());
    return mayAct ? lease_.token() : FencingToken();
}

void DutyRunner::callStore(const Lease::Step &step)
{
    isCalling_ = true;
    const auto done = [this, alive = std::weak_ptr<bool>(alive_)](const LeaseCallResult &result) {
        if (alive.expired())
            return;
        isCalling_ = false;
        lease_.onResult(result, clock_.now());
        logChange();
    };
    switch (step.call) {
    case Lease::Call::None:
        break;
    case Lease::Call::Read:
        store_.read(done);
        break;
    case Lease::Call::Create:
        store_.create(step.record, done);
        break;
    case Lease::Call::Replace:
        store_.replace(step.record, step.expected, done);
        break;
    }
}

void DutyRunner::logChange()
{
    const FencingToken token = currentToken();
    if (token == lastToken_)
        return;
    if (lastToken_ != FencingToken()) {
        const bool isTakenOver = lease_.token() != lastToken_;
        observability::log(observability::LogLevel::Info, "duty-lease-lost",
                           {{"token", lastToken_.value()},
                            {"reason",
                             isTakenOver       ? "taken-over"
                                 : isStopping_ ? "released"
                                               : "not-renewed"},
                            {"holder", lease_.holder()}});
    }
    if (token != FencingToken())
        observability::log(observability::LogLevel::Info, "duty-lease-gained",
                           {{"token", token.value()}});
    lastToken_ = token;
}

} // namespace monsoongrade::duties
