#include <monsoongrade/membership/fleetholder.h>

namespace monsoongrade::membership {

FleetHolder::Snapshot FleetHolder::current() const
{
    const std::lock_guard lock(mutex_);
    return current_;
}

void FleetHolder::publish(FleetView view)
{
    std::vector<Listener> listeners;
    Snapshot next = std::make_shared<const FleetView>(std::move(view));
    {
        const std::lock_guard lock(mutex_);
        current_ = next;
        listeners = listeners_;
    }
    for (const Listener &listener : listeners)
        listener(next);
}

void FleetHolder::addListener(Listener listener)
{
    const std::lock_guard lock(mutex_);
    listeners_.push_back(std::move(listener));
}

} // namespace monsoongrade::membership
