#ifndef MONSOONGRADE_CONFIGURATION_CONFIGURATIONCONTENTS_H
#define MONSOONGRADE_CONFIGURATION_CONFIGURATIONCONTENTS_H

#include <monsoongrade/configuration/manifest.h>

#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace monsoongrade::configuration {

using TextByHash = std::map<std::string, std::string>;

// A manifest with the texts that it names.
struct ManifestContents
{
    Manifest manifest;
    TextByHash texts;
};

// What the configuration in force was read from, kept to be given to other daemons and to fetch
// only what a newer one changes. Thread-safe.
class ConfigurationContents
{
public:
    using Snapshot = std::shared_ptr<const ManifestContents>;

    // Of generation 0 until the first configuration is known.
    Snapshot current() const;
    void put(ManifestContents contents);

private:
    mutable std::mutex mutex_;
    Snapshot current_ = std::make_shared<const ManifestContents>();
};

} // namespace monsoongrade::configuration

#endif // MONSOONGRADE_CONFIGURATION_CONFIGURATIONCONTENTS_H
