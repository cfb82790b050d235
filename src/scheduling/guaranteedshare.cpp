#include <monsoongrade/scheduling/guaranteedshare.h>

#include <algorithm>
#include <cmath>

namespace monsoongrade::scheduling {

namespace {

// A tier keeps what it earned while it had to wait for another one's turn, but no more: it must
// not save up for a burst of its own. The slack absorbs rounding of the sums.
constexpr double MaxAsksKept = 2;
constexpr double Whole = 1 - 1e-9;

} // namespace

int GuaranteedShare::bound(double share, int lowerTiers)
{
    if (share <= 0)
        return 0;
    return static_cast<int>(std::ceil(lowerTiers / share)) + 2 * lowerTiers;
}

std::optional<units::Tier> GuaranteedShare::due(const std::vector<Backlogged> &backlogged) const
{
    std::optional<units::Tier> best;
    double most = Whole;
    for (std::size_t i = 1; i < backlogged.size(); ++i) {
        const auto found = credit_.find(backlogged[i].tier);
        const double asks = found == credit_.end() ? 0 : found->second / backlogged[i].tokens;
        if (asks < most || (best && asks == most))
            continue;
        best = backlogged[i].tier;
        most = asks;
    }
    return best;
}

GuaranteedShare::Booking GuaranteedShare::granted(const std::vector<Backlogged> &backlogged,
                                                  units::Tier tier, double tokens, double share)
{
    Booking booking;
    booking.tokens = tokens;
    if (backlogged.size() < 2)
        return booking;
    booking.share = share / static_cast<double>(backlogged.size() - 1);
    if (tier != backlogged.front().tier) {
        booking.spentBy = tier;
        credit_[tier] -= tokens;
    }
    for (std::size_t i = 1; i < backlogged.size(); ++i) {
        booking.earned.push_back(backlogged[i].tier);
        double &credit = credit_[backlogged[i].tier];
        credit = std::min(MaxAsksKept * backlogged[i].tokens, credit + tokens * booking.share);
    }
    return booking;
}

void GuaranteedShare::correct(const Booking &booking, double tokens)
{
    const double more = tokens - booking.tokens;
    for (const units::Tier tier : booking.earned)
        credit_[tier] += more * booking.share;
    if (!booking.spentBy)
        return;
    double &credit = credit_[*booking.spentBy];
    credit = std::max(std::min(credit, 0.0), credit - more);
}

} // namespace monsoongrade::scheduling
