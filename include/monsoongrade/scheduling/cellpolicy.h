#ifndef MONSOONGRADE_SCHEDULING_CELLPOLICY_H
#define MONSOONGRADE_SCHEDULING_CELLPOLICY_H

#include <monsoongrade/scheduling/classpolicy.h>

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace monsoongrade::scheduling {

// One endpoint as the configuration describes it.
struct EndpointPolicy
{
    units::EndpointId id;
    int slots = 1;
};

// Everything a cell's decisions depend on besides the asks themselves.
struct CellPolicy
{
    std::map<units::ClassName, ClassPolicy> classes;
    std::map<units::WorkspaceName, double> workspaceWeights;
    std::vector<EndpointPolicy> endpoints;
    std::size_t queueLimit = 10000;
    // Share of the tokens granted, and of the queue's places, kept for backlogged lower tiers, so
    // that none of them starves.
    double guaranteedShare = 0.05;
    // Off only to measure what spreading the refused over time is worth.
    bool spreadRetries = true;

    // The tier of a class. One that is not configured here (a router may know newer
    // configuration) counts as the lowest, so that a mistake can't overtake a voucher.
    units::Tier tierOf(const units::ClassName &className) const;
    // How long a class's asks may wait.
    units::Duration longestWait(const units::ClassName &className) const;
    // The shortest time to the first token that a class of the highest tier is promised; nothing if
    // there is only one tier.
    std::optional<units::Duration> highestTierTarget() const;
    units::Tier highestTier() const;
    // Lower tiers: all but the highest configured one.
    int lowerTiers() const;
    // Places in the queue that only this tier's asks may take; none for the highest tier. An
    // ask in a reserved place is never shed for a higher tier: the place was never the higher
    // tier's to lose. Without them a queue full of the highest tier would shed all others at
    // once, and a guaranteed share of the grants would find nobody waiting.
    std::size_t reservedPlaces(units::Tier tier) const;
};

} // namespace monsoongrade::scheduling

#endif // MONSOONGRADE_SCHEDULING_CELLPOLICY_H
