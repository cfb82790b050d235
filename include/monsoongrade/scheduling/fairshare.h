#ifndef MONSOONGRADE_SCHEDULING_FAIRSHARE_H
#define MONSOONGRADE_SCHEDULING_FAIRSHARE_H

#include <algorithm>
#include <cstddef>
#include <map>
#include <set>
#include <utility>

namespace monsoongrade::scheduling {

// Weighted fair order over keys (start-time fair queuing). Each key has a virtual time that
// grows by cost / weight; the backlogged key with the least virtual time goes first. The floor is
// the virtual time at which the last served key started; a key that comes back after a pause
// starts there, so that idling earns no credit. All operations cost O(log n) in the keys.
template <typename Key>
class FairShare
{
public:
    bool isEmpty() const { return backlogged_.empty(); }
    const Key &first() const { return backlogged_.begin()->second; }

    // Keys that have an account: the backlogged ones and those that are ahead of the floor.
    // An idle key behind the floor would start at the floor anyway, so it is forgotten.
    std::size_t accounts() const { return accounts_.size(); }

    void activate(const Key &key)
    {
        Account &account = accounts_.try_emplace(key, Account{floor_, false}).first->second;
        idle_.erase({account.time, key});
        account = {std::max(account.time, floor_), true};
        backlogged_.insert({account.time, key});
    }

    void deactivate(const Key &key)
    {
        const auto found = accounts_.find(key);
        if (found == accounts_.end() || !found->second.backlogged)
            return;
        found->second.backlogged = false;
        backlogged_.erase({found->second.time, key});
        idle_.insert({found->second.time, key});
        forgetIdle();
    }

    // Books the cost of a service that starts now.
    void serve(const Key &key, double cost, double weight)
    {
        const auto found = accounts_.find(key);
        if (found != accounts_.end())
            floor_ = std::max(floor_, found->second.time);
        move(key, cost / weight);
    }

    // Books the difference between a cost that was booked before and the true one.
    void correct(const Key &key, double cost, double weight) { move(key, cost / weight); }

private:
    struct Account
    {
        double time = 0;
        bool backlogged = false;
    };

    void move(const Key &key, double step)
    {
        Account &account = accounts_.try_emplace(key, Account{floor_, false}).first->second;
        auto &order = account.backlogged ? backlogged_ : idle_;
        order.erase({account.time, key});
        account.time += step;
        order.insert({account.time, key});
        forgetIdle();
    }

    void forgetIdle()
    {
        while (!idle_.empty() && idle_.begin()->first <= floor_) {
            accounts_.erase(idle_.begin()->second);
            idle_.erase(idle_.begin());
        }
    }

    std::map<Key, Account> accounts_;
    std::set<std::pair<double, Key>> backlogged_;
    std::set<std::pair<double, Key>> idle_;
    double floor_ = 0;
};

} // namespace monsoongrade::scheduling

#endif // MONSOONGRADE_SCHEDULING_FAIRSHARE_H
