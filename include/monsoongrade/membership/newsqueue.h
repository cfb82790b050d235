#ifndef MONSOONGRADE_MEMBERSHIP_NEWSQUEUE_H
#define MONSOONGRADE_MEMBERSHIP_NEWSQUEUE_H

#include <cstddef>
#include <map>
#include <vector>

namespace monsoongrade::membership {

// News waiting to be passed on, each a bounded number of times, the least told first.
template <typename Key>
class NewsQueue
{
public:
    // Starts the item anew: what was said of it before is out of date.
    void push(const Key &key, std::size_t sends) { sendsLeft_[key] = sends; }
    bool empty() const { return sendsLeft_.empty(); }

    // Up to `most` items; each counts as sent once.
    std::vector<Key> take(std::size_t most)
    {
        std::multimap<std::size_t, Key, std::greater<>> order;
        for (const auto &[key, sends] : sendsLeft_)
            order.emplace(sends, key);
        std::vector<Key> taken;
        for (const auto &[sends, key] : order) {
            if (taken.size() == most)
                break;
            taken.push_back(key);
            if (sends <= 1)
                sendsLeft_.erase(key);
            else
                sendsLeft_[key] = sends - 1;
        }
        return taken;
    }

private:
    std::map<Key, std::size_t> sendsLeft_;
};

} // namespace monsoongrade::membership

#endif // MONSOONGRADE_MEMBERSHIP_NEWSQUEUE_H
