#ifndef MONSOONGRADE_DAEMON_SETTINGSFILE_H
#define MONSOONGRADE_DAEMON_SETTINGSFILE_H

#include <monsoongrade/configuration/problem.h>
#include <monsoongrade/configuration/sourcefile.h>

#include <functional>
#include <string>

namespace monsoongrade::daemon {

using SettingsParser
    = std::function<void(const configuration::SourceFile &, configuration::Problems &)>;

// Reads one file of settings or of a script with the given parser. Prints every problem with
// file, line and key to standard error, and says whether there was none.
bool readSettingsFile(const std::string &path, const SettingsParser &parse);

} // namespace monsoongrade::daemon

#endif // MONSOONGRADE_DAEMON_SETTINGSFILE_H
