#ifndef MONSOONGRADE_SCHEDULING_BACKLOGORDER_H
#define MONSOONGRADE_SCHEDULING_BACKLOGORDER_H

#include <cstddef>
#include <map>
#include <set>
#include <utility>

namespace monsoongrade::scheduling {

// Keys ordered by how many of their asks wait, each count divided by the key's weight. A full
// queue sheds from the longest, so that one key can't fill it: a newcomer always finds a place
// while another key has more than its share of them. O(log n) in the keys.
template <typename Key>
class BacklogOrder
{
public:
    const Key &longest() const { return order_.rbegin()->second; }

    void add(const Key &key, double weight) { change(key, 1, weight); }
    void remove(const Key &key, double weight) { change(key, -1, weight); }

private:
    void change(const Key &key, int step, double weight)
    {
        int &count = counts_[key];
        order_.erase({count / weight, key});
        count += step;
        if (count > 0)
            order_.insert({count / weight, key});
        else
            counts_.erase(key);
    }

    std::map<Key, int> counts_;
    std::set<std::pair<double, Key>> order_;
};

} // namespace monsoongrade::scheduling

#endif // MONSOONGRADE_SCHEDULING_BACKLOGORDER_H
