#ifndef MONSOONGRADE_SCALING_PREEMPTIBLESPREAD_H
#define MONSOONGRADE_SCALING_PREEMPTIBLESPREAD_H

#include <monsoongrade/scaling/sizingpolicy.h>

namespace monsoongrade::scaling {

// Spreads preemptible endpoints evenly over the failure domains and provisions more than the load
// needs, so that enough remain when the platform preempts all of one domain. Uses ordinary ones
// only where preemptible ones are unavailable or not cheaper.
//
// Bursts last about as long as a new endpoint takes to start, so the capacity for a burst must be
// running before it, also when a domain is lost in the middle of one.
class PreemptibleSpread : public SizingPolicy
{
public:
    struct Settings
    {
        // Capacity that remains after all preemptible endpoints of any one domain are lost, as a
        // share of what is needed, while all domains have preemptible endpoints.
        double capacityShareAfterLoss = 4.0 / 3;
        // The same while some domain has none.
        double capacityShareAfterSecondLoss = 0.5;
    };

    explicit PreemptibleSpread(Settings settings)
        : settings_(settings)
    {
    }

    PoolSize decide(const SizingInput &input) const override;

private:
    // Ordinary endpoints needed in addition to the given preemptible ones.
    int additionalOrdinary(const std::map<units::FailureDomain, int> &preemptible,
                           int needed) const;
    std::map<units::FailureDomain, int> spread(const SizingInput &input) const;
    bool isPreemptibleCheaper(const SizingInput &input) const;

    Settings settings_;
};

} // namespace monsoongrade::scaling

#endif // MONSOONGRADE_SCALING_PREEMPTIBLESPREAD_H
