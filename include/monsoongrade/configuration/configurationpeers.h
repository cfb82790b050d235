#ifndef MONSOONGRADE_CONFIGURATION_CONFIGURATIONPEERS_H
#define MONSOONGRADE_CONFIGURATION_CONFIGURATIONPEERS_H

#include <monsoongrade/configuration/configurationcontents.h>

namespace monsoongrade::configuration {

// What the other daemons of the fleet can tell of the configuration.
class ConfigurationPeers
{
public:
    virtual ~ConfigurationPeers() = default;
    // Whether this daemon is one of the few that watch the store for all.
    virtual bool isWatcher() = 0;
    // Whether some daemon has a newer configuration in force than this one.
    virtual bool hasNewer() = 0;
    // From a daemon that has a newer one, or, where none is known to, from any: a daemon that
    // was just started knows of nobody's generation yet. Texts whose hashes are known are left
    // out; generation 0 where the daemon asked has nothing newer.
    // Errors: NoConfiguration, PeerMessageMalformed.
    virtual units::Result<ManifestContents> fetch(units::Generation above, const TextByHash &known)
        = 0;
    // Tells the others what is in force here.
    virtual void inForce(units::Generation generation) = 0;
};

} // namespace monsoongrade::configuration

#endif // MONSOONGRADE_CONFIGURATION_CONFIGURATIONPEERS_H
