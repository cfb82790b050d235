#ifndef MONSOONGRADE_CONFIGURATION_FOLDER_H
#define MONSOONGRADE_CONFIGURATION_FOLDER_H

#include <monsoongrade/configuration/sourcefile.h>
#include <monsoongrade/units/result.h>

#include <string>
#include <vector>

namespace monsoongrade::configuration {

// Reads one file. Error: FileUnreadable.
units::Result<SourceFile> readFile(const std::string &path);

// Reads every *.yaml of a folder in the order of names, or the one file that the path names.
// Error: FileUnreadable.
units::Result<std::vector<SourceFile>> readFolder(const std::string &path);

} // namespace monsoongrade::configuration

#endif // MONSOONGRADE_CONFIGURATION_FOLDER_H
