#include <monsoongrade/routing/sharedelegation.h>

#include <algorithm>

namespace monsoongrade::routing {

namespace {

// A thousand hosts may lend their shares, and each placement uses the sum.
constexpr auto CleanupInterval = std::chrono::milliseconds(20);

} // namespace

void ShareDelegation::setOwnShare(double share, units::TimePoint now)
{
    accrue(now);
    ownShare_ = share;
}

bool ShareDelegation::mayLendTo(const std::string &host, units::TimePoint now) const
{
    return host == borrower_ || now >= lentUntil_;
}

double ShareDelegation::lendTo(const std::string &host, units::TimePoint now)
{
    if (!mayLendTo(host, now))
        return 0;
    accrue(now);
    borrower_ = host;
    lentUntil_ = now + LoanTime;
    return ownShare_;
}

bool ShareDelegation::isRenewalDue(units::TimePoint now) const
{
    return lentUntil_ - now < LoanTime / 2;
}

void ShareDelegation::borrow(const std::string &host, double share, units::TimePoint now)
{
    if (share <= 0)
        return;
    accrue(now);
    Loan &loan = borrowed_[host];
    borrowedSum_ += share - loan.share;
    loan = {share, now + LoanTime};
}

RateShare ShareDelegation::ownShare(units::TimePoint now) const
{
    return {ownShare_, ownAccrued_ + secondsSinceAccrual(now) * ownShare_, ownShare_ < 1};
}

RateShare ShareDelegation::availableShare(units::TimePoint now) const
{
    const double fraction = availableFraction(now);
    return {fraction, availableAccrued_ + secondsSinceAccrual(now) * fraction,
            borrowed_.empty() && ownShare_ < 1};
}

double ShareDelegation::availableFraction(units::TimePoint now) const
{
    return std::min(1.0, borrowedSum_ + (mayLendTo({}, now) ? ownShare_ : 0));
}

double ShareDelegation::secondsSinceAccrual(units::TimePoint now) const
{
    return std::chrono::duration<double>(now - accruedUntil_.value_or(now)).count();
}

void ShareDelegation::accrue(units::TimePoint now)
{
    ownAccrued_ = ownShare(now).accruedSeconds;
    availableAccrued_ = availableShare(now).accruedSeconds;
    accruedUntil_ = now;
}

void ShareDelegation::update(units::TimePoint now)
{
    if (now < nextCleanupAt_)
        return;
    nextCleanupAt_ = now + CleanupInterval;
    accrue(now);
    borrowedSum_ = 0;
    for (auto loan = borrowed_.begin(); loan != borrowed_.end();) {
        if (now >= loan->second.until) {
            loan = borrowed_.erase(loan);
            continue;
        }
        borrowedSum_ += loan->second.share;
        ++loan;
    }
}

} // namespace monsoongrade::routing
