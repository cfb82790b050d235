#ifndef MONSOONGRADE_SCALING_PREEMPTIBLESPREAD_H
#define MONSOONGRADE_SCALING_PREEMPTIBLESPREAD_H

#include <monsoongrade/scaling/sizingpolicy.h>

namespace monsoongrade::scaling {

// Preemptible endpoints spread evenly over the failure domains, and more of them than the load
// needs, so that enough are left when the platform takes all of one domain. Ordinary ones only
// where these are not to be had, or not worth their price.
//
// The load it answers: bursts that last about as long as a new endpoint takes to start, so that
// what serves a burst has to be there before it; and the loss of a domain in the middle of one.
class PreemptibleSpread : public SizingPolicy
{
public:
    struct Settings
    {
        // Of the endpoints needed, the share that is left after the loss of any one domain's
        // preemptible ones, while all domains have some.
        double leftAfterLoss = 4.0 / 3;
        // The same in a time in which some domain has none.
        double leftAfterSecondLoss = 0.5;
    };

    explicit PreemptibleSpread(Settings settings)
        : settings_(settings)
    {
    }

    PoolSize decide(const SizingInput &input) const override;

private:
    // Ordinary endpoints that are needed beside so many preemptible ones in each domain.
    int ordinaryBeside(const std::map<units::FailureDomain, int> &preemptible, int needed) const;
    std::map<units::FailureDomain, int> spread(const SizingInput &input) const;
    bool isWorthIt(const SizingInput &input) const;

    Settings settings_;
};

} // namespace monsoongrade::scaling

#endif // MONSOONGRADE_SCALING_PREEMPTIBLESPREAD_H
