#ifndef MONSOONGRADE_SCHEDULING_GUARANTEEDSHARE_H
#define MONSOONGRADE_SCHEDULING_GUARANTEEDSHARE_H

#include <monsoongrade/units/ids.h>

#include <map>
#include <optional>
#include <vector>

namespace monsoongrade::scheduling {

// Keeps a share of the tokens for backlogged lower tiers. Without it a steady overload of the
// highest tier would leave the others waiting for ever. The tokens of each grant earn every
// lower backlogged tier share / (number of them) of as many; a tier that has earned the tokens
// of its next ask goes next. Tokens and not grants, since one long answer of the lowest tier
// takes as much as ten short ones.
//
// Bound: with L lower tiers, and a next ask of c tokens, a backlogged tier is granted before
// the others together have got c * L / share tokens and 2 L grants more. It has earned its c
// tokens in the first term; then each of the other L - 1 may go before it, each followed by the
// one ask that it passed over, and one grant may overshoot. For asks of equal length that is
// ceil(L / share) + 2 L grants. Together the lower tiers get at most the share of the tokens
// over the time, plus what they keep: two asks' worth each.
//
// A grant is booked with the estimate of its tokens and corrected by those really used when it is
// released. Without that a tier whose answers are guessed too long gets less than its share: for
// as long as the guess stands, and by chance in any minute. What an answer took beyond its estimate
// is paid from what the tier has earned and no further: a tier in debt would fall below its share
// later, and a router that reports a wrong count could shut it out. So the lower tiers may get
// more than the share by what their answers exceeded the estimates.
class GuaranteedShare
{
public:
    // A backlogged tier and the tokens of its next ask.
    struct Backlogged
    {
        units::Tier tier;
        double tokens = 0;
    };

    // What one grant meant to the lower tiers.
    struct Booking
    {
        std::vector<units::Tier> earned;
        double share = 0;
        // The tier that it was a guaranteed grant of, if it was one.
        std::optional<units::Tier> spentBy;
        double tokens = 0;
    };

    // The largest number of grants between two of a backlogged lower tier if all asks have the
    // same length; 0 if the share is 0, which keeps nothing for anybody.
    static int bound(double share, int lowerTiers);

    // The lower tier whose turn it is; nothing if none has earned a grant. Takes the backlogged
    // tiers, highest first.
    std::optional<units::Tier> due(const std::vector<Backlogged> &backlogged) const;

    // Books a grant of so many tokens to a tier, made while these were backlogged, highest first.
    // One to another tier than the highest of them was a guaranteed one.
    Booking granted(const std::vector<Backlogged> &backlogged, units::Tier tier, double tokens,
                    double share);
    // Books the difference to the tokens that the grant really took.
    void correct(const Booking &booking, double tokens);

private:
    std::map<units::Tier, double> credit_;
};

} // namespace monsoongrade::scheduling

#endif // MONSOONGRADE_SCHEDULING_GUARANTEEDSHARE_H
