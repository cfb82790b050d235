#ifndef MONSOONGRADE_DAEMON_PARSEARGUMENTS_H
#define MONSOONGRADE_DAEMON_PARSEARGUMENTS_H

#include <optional>

// The library's own name.
namespace CLI { // NOLINT(readability-identifier-naming)
class App;
} // namespace CLI

namespace monsoongrade::daemon {

// Parses a program's arguments. Gives the exit code where the program has to end: 0 after --help
// or --version, 2 for wrong words, which are printed.
std::optional<int> parseArguments(CLI::App &app, int argc, char **argv);

} // namespace monsoongrade::daemon

#endif // MONSOONGRADE_DAEMON_PARSEARGUMENTS_H
