#ifndef MONSOONGRADE_CONFIGURATION_CONFIGURATIONWATCHER_H
#define MONSOONGRADE_CONFIGURATION_CONFIGURATIONWATCHER_H

#include <monsoongrade/configuration/configurationholder.h>
#include <monsoongrade/platform/objectstore.h>

#include <atomic>
#include <thread>

namespace monsoongrade::configuration {

// Watches the platform's manifest on a thread of its own and offers each newer configuration
// to the holder. While the platform is down it keeps trying, and the holder keeps what it has.
class ConfigurationWatcher
{
public:
    ConfigurationWatcher(platform::ObjectStore &store, ConfigurationHolder &holder);
    ~ConfigurationWatcher();

private:
    void run();
    void watchOnce();

    platform::ObjectStore &store_;
    ConfigurationHolder &holder_;
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

} // namespace monsoongrade::configuration

#endif // MONSOONGRADE_CONFIGURATION_CONFIGURATIONWATCHER_H
