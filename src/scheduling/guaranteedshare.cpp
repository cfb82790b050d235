#include <monsoongrade/scheduling/guaranteedshare.h>

#include <algorithm>
#include <cmath>

namespace monsoongrade::scheduling {

namespace {

// A tier keeps what it earned while it had to wait for another one's turn, but no more: it must
// not save up for a burst of its own. The slack absorbs rounding of the sums.
constexpr double MostCredit = 2;
constexpr double Whole = 1 - 1e-9;

} // namespace

int GuaranteedShare::bound(double share, int lowerTiers)
{
    if (share <= 0)
        return 0;
    return static_cast<int>(std::ceil(lowerTiers / share)) + 2 * lowerTiers;
}

std::optional<units::Tier> GuaranteedShare::due(const std::vector<units::Tier> &backlogged) const
{
    std::optional<units::Tier> best;
    double most = Whole;
    for (std::size_t i = 1; i < backlogged.size(); ++i) {
        const auto found = credit_.find(backlogged[i]);
        if (found == credit_.end() || found->second < most || (best && found->second == most))
            continue;
        best = backlogged[i];
        most = found->second;
    }
    return best;
}

void GuaranteedShare::granted(const std::vector<units::Tier> &backlogged, double share)
{
    const double each
        = backlogged.size() < 2 ? 0 : share / static_cast<double>(backlogged.size() - 1);
    for (std::size_t i = 1; i < backlogged.size(); ++i) {
        double &credit = credit_[backlogged[i]];
        credit = std::min(MostCredit, credit + each);
    }
}

} // namespace monsoongrade::scheduling
