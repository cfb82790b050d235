#ifndef MONSOONGRADE_ROUTING_GENERATIONS_H
#define MONSOONGRADE_ROUTING_GENERATIONS_H

#include <monsoongrade/units/clock.h>

#include <cstddef>
#include <utility>

namespace monsoongrade::routing {

// Two generations of a set or map, so that it forgets entries without looking at each: after an
// interval the current one becomes the previous one, whose entries are dropped. An entry is kept
// for one to two intervals, and less long when there are more than maxEntries in one.
template <typename Container>
class Generations
{
public:
    Generations(units::Duration interval, std::size_t maxEntries)
        : interval_(interval)
        , maxEntries_(maxEntries)
    {
    }

    // Starts a new generation if it is time. Called before entries are added.
    void rotate(units::TimePoint now)
    {
        const units::Duration age = now - rotatedAt_;
        if (age < interval_ && current_.size() < maxEntries_)
            return;
        previous_ = std::exchange(current_, {});
        if (isOutdated(now))
            previous_.clear();
        rotatedAt_ = now;
    }
    // Whether all entries are too old, for use without a rotation.
    bool isOutdated(units::TimePoint now) const { return now - rotatedAt_ >= 2 * interval_; }

    Container &current() { return current_; }
    const Container &current() const { return current_; }
    const Container &previous() const { return previous_; }

private:
    units::Duration interval_;
    std::size_t maxEntries_;
    Container current_;
    Container previous_;
    units::TimePoint rotatedAt_{};
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_GENERATIONS_H
