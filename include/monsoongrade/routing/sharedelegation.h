#ifndef MONSOONGRADE_ROUTING_SHAREDELEGATION_H
#define MONSOONGRADE_ROUTING_SHAREDELEGATION_H

#include <monsoongrade/routing/rateshare.h>

#include <monsoongrade/units/clock.h>

#include <optional>
#include <string>
#include <unordered_map>

namespace monsoongrade::routing {

// Keeps the requests that all hosts place on an endpoint within its rate limit, also while hosts
// disagree about the coordinator. Each host owns an equal share of every limit and lends it to the
// host that it asks to place its requests, one at a time. The borrower may use it for LoanTime
// after the last query. Until then the owner neither lends it to another host nor uses it itself,
// so that the shares in use add up to one limit at most, except for the time that a query takes.
class ShareDelegation
{
public:
    // Short, so that limits are used again soon after a coordinator was lost. Under load a host
    // sends several queries in this time.
    static constexpr auto LoanTime = std::chrono::milliseconds(500);

    // Sets this host's own share of every limit, 0 to 1.
    void setOwnShare(double share, units::TimePoint now);
    // Returns the share to lend to this host with a query, 0 if it is lent to another one.
    double lendTo(const std::string &host, units::TimePoint now);
    // This host places a request itself, and uses its own share unless that is lent.
    void keep(units::TimePoint now) { lendTo({}, now); }
    // True if the share is lent to nobody, or the loan ends soon unless it is extended.
    bool isRenewalDue(units::TimePoint now) const;
    // Another host lends this share, 0 to 1.
    void borrow(const std::string &host, double share, units::TimePoint now);

    // Ends the loans that have expired. To be called before the shares are used.
    void update(units::TimePoint now);
    // For pools where each host places its own requests.
    RateShare ownShare(units::TimePoint now) const;
    // For pools with a coordinator: what this host has borrowed, and its own share unless lent.
    RateShare availableShare(units::TimePoint now) const;

private:
    struct Loan
    {
        double share = 0;
        units::TimePoint until;
    };

    bool mayLendTo(const std::string &host, units::TimePoint now) const;
    double availableFraction(units::TimePoint now) const;
    double secondsSinceAccrual(units::TimePoint now) const;
    void accrue(units::TimePoint now);

    double ownShare_ = 1;
    std::string borrower_; // empty: this host
    units::TimePoint lentUntil_{};
    std::unordered_map<std::string, Loan> borrowed_; // by owner
    double borrowedSum_ = 0;
    units::TimePoint nextCleanupAt_{};
    std::optional<units::TimePoint> accruedUntil_;
    double ownAccrued_ = 0;
    double availableAccrued_ = 0;
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_SHAREDELEGATION_H
