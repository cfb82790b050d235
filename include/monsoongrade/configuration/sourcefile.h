#ifndef MONSOONGRADE_CONFIGURATION_SOURCEFILE_H
#define MONSOONGRADE_CONFIGURATION_SOURCEFILE_H

#include <string>

namespace monsoongrade::configuration {

// One file of a configuration folder: its name within the folder, and its text.
struct SourceFile
{
    std::string name;
    std::string text;
};

} // namespace monsoongrade::configuration

#endif // MONSOONGRADE_CONFIGURATION_SOURCEFILE_H
