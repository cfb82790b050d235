#ifndef MONSOONGRADE_CONFIGURATION_CONFIGURATIONUPDATER_H
#define MONSOONGRADE_CONFIGURATION_CONFIGURATIONUPDATER_H

#include <monsoongrade/configuration/configurationholder.h>
#include <monsoongrade/configuration/configurationpeers.h>
#include <monsoongrade/configuration/configurationstore.h>

namespace monsoongrade::configuration {

// Puts newer configurations into force, from the platform's store or from another daemon. Only
// a whole that is complete, unharmed and valid is put into force, and never one of a lower
// generation.
class ConfigurationUpdater
{
public:
    ConfigurationUpdater(platform::ObjectStore &store, ConfigurationPeers &peers,
                         ConfigurationContents &contents, ConfigurationHolder &holder);

    // Waits on the store's manifest for up to a second; returns whether a newer one was put into
    // force.
    units::Result<bool> watchStore();
    // Reads the store's manifest once.
    units::Result<bool> readStore();
    // Asks another daemon.
    units::Result<bool> askPeer();

    units::Generation known() const;
    // How many files the manifest in force names.
    std::size_t files() const;

private:
    units::Result<bool> fromStore(const Manifest &manifest);
    units::Result<bool> put(ManifestContents next);
    units::Result<bool> reject(const Manifest &manifest, const std::string &reason);

    ConfigurationStore store_;
    ConfigurationPeers &peers_;
    ConfigurationContents &contents_;
    ConfigurationHolder &holder_;
    // The newest that could not be put into force; not tried again.
    units::Generation rejected_;
};

} // namespace monsoongrade::configuration

#endif // MONSOONGRADE_CONFIGURATION_CONFIGURATIONUPDATER_H
