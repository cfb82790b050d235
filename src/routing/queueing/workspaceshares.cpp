#include <monsoongrade/routing/queueing/workspaceshares.h>

#include <monsoongrade/units/halflife.h>

#include <algorithm>
#include <iterator>
#include <limits>
#include <numeric>

namespace monsoongrade::routing::queueing {

namespace {

// Half-life of the counts. Bursts last some seconds, and a request waits for up to 2 s.
constexpr std::chrono::duration<double> HalfLife = std::chrono::seconds(3);
// Part of the level above which a workspace is over its share. A workspace that bears all refusals
// alone gets exactly the level. If it were within its share then, its waiting requests would delay
// the others at each small change of the counts.
constexpr double OverShareLimit = 0.95;
// Rounding of sums must not put the level below a demand that was placed in full.
constexpr double Tolerance = 1e-6;
// Interval between updates of a group. Larger groups are updated less often, in proportion, so that
// their updates take the same part of the CPU: 1,024 workspaces take about 50 us.
constexpr auto UpdateInterval = std::chrono::milliseconds(100);
constexpr std::size_t WorkspacesPerInterval = 1024;
// Bound on the memory of a group. Further workspaces are not counted and not over their share.
constexpr std::size_t MaxWorkspaces = 8192;
// A workspace is forgotten when its demand has decayed to this, 30 s after a prompt of 64,000.
constexpr double MinDemandedTokens = 64;

units::Duration updateInterval(std::size_t workspaces)
{
    return UpdateInterval * std::int64_t(1 + workspaces / WorkspacesPerInterval);
}

} // namespace

WorkspaceShares::Workspace *WorkspaceShares::workspaceOf(const units::PoolName &pool,
                                                         units::Tier tier,
                                                         const units::WorkspaceName &workspace,
                                                         units::TimePoint now)
{
    Group &group = groups_[{pool.value(), tier}];
    if (group.workspaces.empty())
        group.updatedAt = now;
    const auto found = group.workspaces.find(workspace.value());
    if (found != group.workspaces.end())
        return &found->second;
    return group.workspaces.size() < MaxWorkspaces ? &group.workspaces[workspace.value()] : nullptr;
}

void WorkspaceShares::onArrived(const units::PoolName &pool, units::Tier tier,
                                const units::WorkspaceName &workspace, std::int64_t tokens,
                                units::TimePoint now)
{
    if (Workspace *found = workspaceOf(pool, tier, workspace, now))
        found->demanded += double(tokens);
}

void WorkspaceShares::onPlaced(const units::PoolName &pool, units::Tier tier,
                               const units::WorkspaceName &workspace, std::int64_t tokens,
                               units::TimePoint now)
{
    if (Workspace *found = workspaceOf(pool, tier, workspace, now))
        found->placed += double(tokens);
}

std::vector<WorkspaceShares::Change> WorkspaceShares::update(units::TimePoint now)
{
    std::vector<Change> changes;
    for (auto each = groups_.begin(); each != groups_.end();) {
        auto &[key, group] = *each;
        if (now - group.updatedAt >= updateInterval(group.workspaces.size())) {
            decay(group, now);
            std::vector<Change> ofGroup = updateStatus(key, group);
            std::move(ofGroup.begin(), ofGroup.end(), std::back_inserter(changes));
        }
        each = group.workspaces.empty() ? groups_.erase(each) : std::next(each);
    }
    return changes;
}

bool WorkspaceShares::isOverShare(const units::PoolName &pool, units::Tier tier,
                                  const units::WorkspaceName &workspace) const
{
    const auto group = groups_.find({pool.value(), tier});
    if (group == groups_.end())
        return false;
    const auto found = group->second.workspaces.find(workspace.value());
    return found != group->second.workspaces.end() && found->second.isOverShare;
}

std::size_t WorkspaceShares::overShareCount() const
{
    std::size_t count = 0;
    for (const auto &[key, group] : groups_)
        count += std::size_t(
            std::count_if(group.workspaces.begin(), group.workspaces.end(),
                          [](const auto &workspace) { return workspace.second.isOverShare; }));
    return count;
}

void WorkspaceShares::decay(Group &group, units::TimePoint now)
{
    const double factor = units::shareLeft(now - group.updatedAt, HalfLife);
    group.updatedAt = now;
    for (auto &[name, workspace] : group.workspaces) {
        workspace.demanded *= factor;
        workspace.placed *= factor;
    }
}

// Infinite if all demand was placed, or only one workspace demands.
double WorkspaceShares::fairLevel(const Group &group)
{
    constexpr double Unlimited = std::numeric_limits<double>::infinity();
    double left = 0; // placed tokens that are not yet assigned to a workspace
    std::vector<double> demands;
    demands.reserve(group.workspaces.size());
    for (const auto &[name, workspace] : group.workspaces) {
        left += workspace.placed;
        demands.push_back(workspace.demanded);
    }
    if (demands.size() < 2)
        return Unlimited;
    for (auto rest = demands.begin(); rest != demands.end();) {
        const double level = left / double(demands.end() - rest);
        const auto above = std::partition(rest, demands.end(), [level](double demand) {
            return demand <= level * (1 + Tolerance);
        });
        if (above == rest)
            return level;
        left -= std::accumulate(rest, above, 0.0);
        rest = above;
    }
    return Unlimited;
}

std::vector<WorkspaceShares::Change> WorkspaceShares::updateStatus(const GroupKey &key,
                                                                   Group &group)
{
    const double level = fairLevel(group);
    std::vector<Change> changes;
    for (auto each = group.workspaces.begin(); each != group.workspaces.end();) {
        auto &[name, workspace] = *each;
        const bool isForgotten
            = workspace.demanded < MinDemandedTokens && workspace.placed < MinDemandedTokens;
        const bool isOver = !isForgotten && workspace.demanded > level
            && workspace.placed > OverShareLimit * level;
        if (isOver != workspace.isOverShare)
            changes.push_back(
                {units::PoolName(key.first), key.second, units::WorkspaceName(name), isOver});
        workspace.isOverShare = isOver;
        each = isForgotten ? group.workspaces.erase(each) : std::next(each);
    }
    return changes;
}

} // namespace monsoongrade::routing::queueing
