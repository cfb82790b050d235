#ifndef MONSOONGRADE_TESTS_ROUTING_EVENTQUEUE_H
#define MONSOONGRADE_TESTS_ROUTING_EVENTQUEUE_H

#include <monsoongrade/units/clock.h>

#include <cstdint>
#include <functional>
#include <queue>

namespace monsoongrade::routing {

// What happens in a simulation in virtual time, by its time; at the same time, in the order in
// which it was scheduled.
class EventQueue
{
public:
    struct Event
    {
        units::TimePoint at;
        std::uint64_t order;
        std::function<void()> run;

        friend bool operator<(const Event &a, const Event &b)
        {
            return a.at != b.at ? a.at > b.at : a.order > b.order;
        }
    };

    void schedule(units::TimePoint at, std::function<void()> run)
    {
        events_.push({at, ++scheduled_, std::move(run)});
    }
    bool isEmpty() const { return events_.empty(); }
    units::TimePoint nextAt() const { return events_.top().at; }
    // Removes and returns the next event.
    Event take()
    {
        Event next = events_.top();
        events_.pop();
        return next;
    }

private:
    std::priority_queue<Event> events_;
    std::uint64_t scheduled_ = 0;
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_TESTS_ROUTING_EVENTQUEUE_H
