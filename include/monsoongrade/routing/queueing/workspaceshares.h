#ifndef MONSOONGRADE_ROUTING_QUEUEING_WORKSPACESHARES_H
#define MONSOONGRADE_ROUTING_QUEUEING_WORKSPACESHARES_H

#include <monsoongrade/units/clock.h>
#include <monsoongrade/units/ids.h>

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace monsoongrade::routing::queueing {

// Measures which workspaces use more than their max-min fair share of a pool and tier.
//
// Counts the prompt tokens that each workspace has demanded and that were placed for it in the last
// seconds. The fair level is the one at which the smaller of demand and level, summed over the
// workspaces, equals the placed tokens: what one workspace does not use goes to the others. A
// workspace is over its share if it has demanded more than the level and more than the level was
// placed for it.
class WorkspaceShares
{
public:
    struct Change
    {
        units::PoolName pool;
        units::Tier tier;
        units::WorkspaceName workspace;
        bool isOverShare = false;
    };

    // The request asked for a place.
    void onArrived(const units::PoolName &pool, units::Tier tier,
                   const units::WorkspaceName &workspace, std::int64_t tokens,
                   units::TimePoint now);
    // The request was placed on an endpoint.
    void onPlaced(const units::PoolName &pool, units::Tier tier,
                  const units::WorkspaceName &workspace, std::int64_t tokens, units::TimePoint now);
    // Recomputes the levels that are due, and returns the workspaces whose status has changed.
    std::vector<Change> update(units::TimePoint now);
    // The status as of the last update().
    bool isOverShare(const units::PoolName &pool, units::Tier tier,
                     const units::WorkspaceName &workspace) const;
    // Number of workspaces over their share, counted once for each pool and tier.
    std::size_t overShareCount() const;

private:
    struct Workspace
    {
        double demanded = 0;
        double placed = 0;
        bool isOverShare = false;
    };
    // The workspaces of one pool and tier.
    struct Group
    {
        std::unordered_map<std::string, Workspace> workspaces;
        units::TimePoint updatedAt{};
    };
    using GroupKey = std::pair<std::string, units::Tier>;

    Workspace *workspaceOf(const units::PoolName &pool, units::Tier tier,
                           const units::WorkspaceName &workspace, units::TimePoint now);
    static void decay(Group &group, units::TimePoint now);
    static double fairLevel(const Group &group);
    static std::vector<Change> updateStatus(const GroupKey &key, Group &group);

    std::map<GroupKey, Group> groups_;
};

} // namespace monsoongrade::routing::queueing

#endif // MONSOONGRADE_ROUTING_QUEUEING_WORKSPACESHARES_H
