#ifndef MONSOONGRADE_CONFIGURATION_MANIFEST_H
#define MONSOONGRADE_CONFIGURATION_MANIFEST_H

#include <monsoongrade/units/ids.h>
#include <monsoongrade/units/result.h>

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace monsoongrade::configuration {

struct AcceptedChange
{
    // Made up by whoever applied the change.
    std::string id;
    units::Generation generation;
};

// Names the files in force and their contents by hash. One object; each accepted change is one
// conditional update of it.
struct Manifest
{
    units::Generation generation;
    std::map<std::string, std::string> contentHashByFile;
    // The last ones, oldest first. Whoever lost the reply finds the change here, also when
    // others' changes have followed; one id alone would be hidden by the next change.
    std::deque<AcceptedChange> recentChanges;

    // The generation of the change, if it is among the recent ones.
    std::optional<units::Generation> acceptedAs(const std::string &changeId) const;
    // Makes it the next generation.
    void accept(const std::string &changeId);
};

// How many changes a manifest remembers.
constexpr std::size_t MaxRecentChanges = 64;

std::string encodeManifest(const Manifest &manifest);
// Error: PlatformAnswerMalformed.
units::Result<Manifest> decodeManifest(const std::string &text);

// Name under which a file's text is stored, from its bytes.
std::string contentHash(const std::string &text);

} // namespace monsoongrade::configuration

#endif // MONSOONGRADE_CONFIGURATION_MANIFEST_H
