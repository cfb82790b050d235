#ifndef MONSOONGRADE_CONFIGURATION_CONFIGURATIONSTORE_H
#define MONSOONGRADE_CONFIGURATION_CONFIGURATIONSTORE_H

#include <monsoongrade/configuration/configurationparser.h>
#include <monsoongrade/configuration/manifest.h>
#include <monsoongrade/platform/objectstore.h>

#include <functional>
#include <string>
#include <vector>

namespace monsoongrade::configuration {

// The configuration as the platform's object API keeps it.
class ConfigurationStore
{
public:
    using Pause = std::function<void(units::Duration)>;

    // pause waits between attempts; by default the thread sleeps.
    explicit ConfigurationStore(platform::ObjectStore &store, Pause pause = {});

    // The manifest in force; one of generation 0 where none was ever accepted.
    units::Result<Manifest> manifest();
    // Waits until a generation above the given one is accepted, or the wait is over. One call a
    // round once the manifest has been read.
    units::Result<Manifest> waitForChange(units::Generation above, units::Duration wait);
    units::Result<std::vector<SourceFile>> files(const Manifest &manifest);
    // One file's text. Error besides those of the store: PlatformAnswerMalformed where the text
    // does not match its hash.
    units::Result<std::string> content(const std::string &hash);

    struct Applied
    {
        units::Generation generation;
        Problems problems;
    };
    // Puts the given files over those in force; files of other names stay. The merged whole is
    // checked first; with problems nothing is changed. changeId must be new for each change;
    // applying the same change once more under the same id is harmless.
    // Errors: VersionConflict where somebody else changed one of these files at the same moment,
    // PlatformUnavailable where nothing was changed, and OutcomeUnknown where the change may have
    // been accepted.
    units::Result<Applied> apply(const std::vector<SourceFile> &changed,
                                 const std::string &changeId);
    // Takes the named files out of force, under the same rules.
    units::Result<Applied> remove(const std::vector<std::string> &names,
                                  const std::string &changeId);

private:
    // The files' new hashes; an empty one removes the file.
    using HashByFile = std::map<std::string, std::string>;

    units::Result<Applied> commit(const HashByFile &change, const std::string &changeId);
    units::Result<Problems> check(const Manifest &merged);
    units::Result<void> storeContents(const std::vector<SourceFile> &files);

    platform::ObjectStore &store_;
    Pause pause_;
    platform::ObjectVersion seenVersion_;
    // Texts of this change's merges, so that a repeated attempt reads only what is new.
    std::map<std::string, std::string> textByHash_;
};

} // namespace monsoongrade::configuration

#endif // MONSOONGRADE_CONFIGURATION_CONFIGURATIONSTORE_H
