#ifndef MONSOONGRADE_CONFIGURATION_CONFIGURATIONHOLDER_H
#define MONSOONGRADE_CONFIGURATION_CONFIGURATIONHOLDER_H

#include <monsoongrade/configuration/configuration.h>

#include <functional>
#include <memory>
#include <mutex>
#include <vector>

namespace monsoongrade::configuration {

// The configuration in force in this daemon. Thread-safe.
class ConfigurationHolder
{
public:
    using Snapshot = std::shared_ptr<const Configuration>;
    using Listener = std::function<void(const Snapshot &)>;

    // Null until the first configuration is known.
    Snapshot current() const;
    // Takes a configuration of a higher generation and tells the listeners; ignores any other.
    // A stale read of the store or a peer that lags would otherwise bring an older one back.
    bool offer(Snapshot next);
    void addListener(Listener listener);

private:
    mutable std::mutex mutex_;
    Snapshot current_;
    std::vector<Listener> listeners_;
};

} // namespace monsoongrade::configuration

#endif // MONSOONGRADE_CONFIGURATION_CONFIGURATIONHOLDER_H
