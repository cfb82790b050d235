#ifndef MONSOONGRADE_CONFIGURATION_MANIFEST_H
#define MONSOONGRADE_CONFIGURATION_MANIFEST_H

#include <monsoongrade/units/ids.h>
#include <monsoongrade/units/result.h>

#include <map>
#include <string>

namespace monsoongrade::configuration {

// Names the files in force and their contents by hash. One object; each accepted change is one
// conditional update of it.
struct Manifest
{
    units::Generation generation;
    // Made up by whoever applied the change, to recognise it after a lost reply.
    std::string changeId;
    std::map<std::string, std::string> contentHashByFile;
};

std::string encodeManifest(const Manifest &manifest);
// Error: PlatformAnswerMalformed.
units::Result<Manifest> decodeManifest(const std::string &text);

// Name under which a file's text is stored, from its bytes.
std::string contentHash(const std::string &text);

} // namespace monsoongrade::configuration

#endif // MONSOONGRADE_CONFIGURATION_MANIFEST_H
