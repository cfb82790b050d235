#ifndef MONSOONGRADE_SCHEDULING_FAIRSHARE_H
#define MONSOONGRADE_SCHEDULING_FAIRSHARE_H

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace monsoongrade::scheduling {

// Weighted fair order over keys (start-time fair queuing). Each key has a virtual time that
// grows by cost / weight; the backlogged key with the least virtual time goes first. A key that
// comes back after a pause starts at the current virtual time, so that idling earns no credit.
// All operations cost O(log n) in the number of keys.
template <typename Key>
class FairShare
{
public:
    bool isEmpty() const { return backlogged_.empty(); }
    const Key &first() const { return backlogged_.begin()->second; }
    const Key &last() const { return backlogged_.rbegin()->second; }

    void activate(const Key &key)
    {
        double &time = virtualTime_[key];
        time = std::max(time, floor_);
        backlogged_.insert({time, key});
    }

    void deactivate(const Key &key) { backlogged_.erase({virtualTime_[key], key}); }

    // A negative cost corrects an estimate that was too high.
    void charge(const Key &key, double cost, double weight)
    {
        double &time = virtualTime_[key];
        const bool waiting = backlogged_.erase({time, key}) > 0;
        if (waiting)
            floor_ = std::max(floor_, time);
        time += cost / weight;
        if (waiting)
            backlogged_.insert({time, key});
    }

    double virtualTime(const Key &key) const
    {
        const auto found = virtualTime_.find(key);
        return found == virtualTime_.end() ? floor_ : found->second;
    }

private:
    std::map<Key, double> virtualTime_;
    std::set<std::pair<double, Key>> backlogged_;
    double floor_ = 0;
};

} // namespace monsoongrade::scheduling

#endif // MONSOONGRADE_SCHEDULING_FAIRSHARE_H
