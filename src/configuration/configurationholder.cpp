#include <monsoongrade/configuration/configurationholder.h>

namespace monsoongrade::configuration {

ConfigurationHolder::Snapshot ConfigurationHolder::current() const
{
    const std::lock_guard lock(mutex_);
    return current_;
}

bool ConfigurationHolder::offer(Snapshot next)
{
    std::vector<Listener> listeners;
    {
        const std::lock_guard lock(mutex_);
        if (current_ && next->generation <= current_->generation)
            return false;
        current_ = next;
        listeners = listeners_;
    }
    for (const Listener &listener : listeners)
        listener(next);
    return true;
}

void ConfigurationHolder::addListener(Listener listener)
{
    const std::lock_guard lock(mutex_);
    listeners_.push_back(std::move(listener));
}

} // namespace monsoongrade::configuration
