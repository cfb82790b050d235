#ifndef MONSOONGRADE_CONFIGURATION_CONFIGURATIONSTORE_H
#define MONSOONGRADE_CONFIGURATION_CONFIGURATIONSTORE_H

#include <monsoongrade/configuration/configurationparser.h>
#include <monsoongrade/configuration/manifest.h>
#include <monsoongrade/platform/objectstore.h>

#include <string>
#include <vector>

namespace monsoongrade::configuration {

// The configuration as the platform's object API keeps it.
class ConfigurationStore
{
public:
    explicit ConfigurationStore(platform::ObjectStore &store);

    // The manifest in force; one of generation 0 where none was ever accepted.
    units::Result<Manifest> manifest();
    // Waits until a generation above the given one is accepted, or the wait is over.
    units::Result<Manifest> waitForChange(units::Generation above, units::Duration wait);
    units::Result<std::vector<SourceFile>> files(const Manifest &manifest);

    struct Applied
    {
        units::Generation generation;
        Problems problems;
    };
    // Puts the given files over those in force; files of other names stay. The merged whole is
    // checked first; with problems nothing is changed. changeId must be new for each call.
    units::Result<Applied> apply(const std::vector<SourceFile> &changed,
                                 const std::string &changeId);

private:
    units::Result<void> storeContents(const std::vector<SourceFile> &files);

    platform::ObjectStore &store_;
    platform::ObjectVersion seenVersion_;
};

} // namespace monsoongrade::configuration

#endif // MONSOONGRADE_CONFIGURATION_CONFIGURATIONSTORE_H
