#ifndef MONSOONGRADE_CONFIGURATION_CONFIGURATIONPARSER_H
#define MONSOONGRADE_CONFIGURATION_CONFIGURATIONPARSER_H

#include <monsoongrade/configuration/configuration.h>
#include <monsoongrade/configuration/problem.h>
#include <monsoongrade/configuration/sourcefile.h>

#include <vector>

namespace monsoongrade::configuration {

// The outcome of merging files: the configuration counts only where there is no problem.
struct ParsedConfiguration
{
    Configuration configuration;
    Problems problems;

    bool isValid() const { return problems.empty(); }
};

// Merges the files in the order of their names and checks the whole: unknown keys, types,
// ranges, names given twice, references to names that no file gives.
ParsedConfiguration parseConfiguration(std::vector<SourceFile> files);

} // namespace monsoongrade::configuration

#endif // MONSOONGRADE_CONFIGURATION_CONFIGURATIONPARSER_H
