#ifndef MONSOONGRADE_DAEMON_STANDINCOMMANDLINE_H
#define MONSOONGRADE_DAEMON_STANDINCOMMANDLINE_H

#include <monsoongrade/daemon/settingsfile.h>

#include <cstdint>
#include <optional>

// The library's own name.
namespace CLI { // NOLINT(readability-identifier-naming)
class App;
} // namespace CLI

namespace monsoongrade::daemon {

// Reads a stand-in's command line: its own options, which are there already, and --config FILE,
// --check and --version. Options that are given win over the file. The port has to come from one
// of them. Gives the exit code where the program has to end.
std::optional<int> readStandInCommandLine(CLI::App &app, int argc, char **argv,
                                          const SettingsParser &parse, const std::uint16_t &port);

} // namespace monsoongrade::daemon

#endif // MONSOONGRADE_DAEMON_STANDINCOMMANDLINE_H
