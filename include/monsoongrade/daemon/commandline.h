#ifndef MONSOONGRADE_DAEMON_COMMANDLINE_H
#define MONSOONGRADE_DAEMON_COMMANDLINE_H

#include <monsoongrade/configuration/daemonsettings.h>

#include <functional>
#include <optional>
#include <string>

namespace monsoongrade::daemon {

constexpr int ExitOk = 0;
constexpr int ExitFailed = 1;
constexpr int ExitBadSettings = 2;

// What a daemon's command line led to: settings to run with, or the exit code to end with.
struct CommandLine
{
    std::optional<configuration::DaemonSettings> settings;
    int exitCode = ExitOk;
};

// Reads --config FILE, --check, --version and --help of a router or scheduler. Prints every
// problem of the settings to standard error.
CommandLine readCommandLine(const std::string &program, const std::string &purpose, int argc,
                            char **argv);

// The whole of a daemon's main: reads the command line, starts logging, blocks the stop signals
// and runs it with its settings. Returns the exit code; a fault is printed.
int runDaemon(const std::string &program, const std::string &purpose, int argc, char **argv,
              const std::function<int(const configuration::DaemonSettings &)> &run);

} // namespace monsoongrade::daemon

#endif // MONSOONGRADE_DAEMON_COMMANDLINE_H
