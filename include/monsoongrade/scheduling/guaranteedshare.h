#ifndef MONSOONGRADE_SCHEDULING_GUARANTEEDSHARE_H
#define MONSOONGRADE_SCHEDULING_GUARANTEEDSHARE_H

#include <monsoongrade/units/ids.h>

#include <map>
#include <optional>
#include <vector>

namespace monsoongrade::scheduling {

// Keeps a share of the grants for backlogged lower tiers. Without it a steady overload of the
// highest tier would leave the others waiting for ever. Each grant earns every lower backlogged
// tier share / (number of them) of a grant; a tier that has earned a whole one goes next.
//
// Bound: with L lower tiers a backlogged one is granted at least once in
// ceil(L / share) + 2 L grants. It earns a whole grant in the first term; then each of the other
// L - 1 may go before it, each followed by the one ask that it passed over. Together the lower
// tiers get at most one grant in 1 / share over the time, plus L kept ones.
class GuaranteedShare
{
public:
    // The largest number of grants between two of a backlogged lower tier; 0 if share is 0,
    // which keeps nothing for anybody.
    static int bound(double share, int lowerTiers);

    // The lower tier whose turn it is; nothing if none has earned a grant. Takes the backlogged
    // tiers, highest first.
    std::optional<units::Tier> due(const std::vector<units::Tier> &backlogged) const;

    // Counts a grant made while these tiers were backlogged, highest first.
    void granted(const std::vector<units::Tier> &backlogged, double share);
    // Takes back the whole grant that a tier has used.
    void spent(units::Tier tier) { credit_[tier] -= 1; }

private:
    std::map<units::Tier, double> credit_;
};

} // namespace monsoongrade::scheduling

#endif // MONSOONGRADE_SCHEDULING_GUARANTEEDSHARE_H
