#ifndef MONSOONGRADE_CONFIGURATION_CONFIGURATIONWATCHER_H
#define MONSOONGRADE_CONFIGURATION_CONFIGURATIONWATCHER_H

#include <monsoongrade/configuration/configurationupdater.h>

#include <atomic>
#include <random>
#include <thread>

namespace monsoongrade::configuration {

// Keeps the configuration up to date on a thread of its own. A few daemons wait on the store;
// the others ask a peer as soon as membership news name a newer generation, and read the store
// now and then in case news got lost. While the platform is down peers are asked.
class ConfigurationWatcher
{
public:
    ConfigurationWatcher(platform::ObjectStore &store, ConfigurationPeers &peers,
                         ConfigurationContents &contents, ConfigurationHolder &holder);
    ~ConfigurationWatcher();

private:
    void run();
    void watchOnce();
    void pause(units::Duration time);
    bool attempt(const char *source, units::Result<bool> (ConfigurationUpdater::*update)());

    ConfigurationPeers &peers_;
    ConfigurationUpdater updater_;
    std::mt19937 random_;
    units::TimePoint nextStoreRead_;
    std::map<std::string, bool> failing_;
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

} // namespace monsoongrade::configuration

#endif // MONSOONGRADE_CONFIGURATION_CONFIGURATIONWATCHER_H
