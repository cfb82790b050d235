#include <monsoongrade/daemon/commandline.h>

#include <monsoongrade/daemon/loglevels.h>
#include <monsoongrade/daemon/parsearguments.h>
#include <monsoongrade/daemon/settingsfile.h>
#include <monsoongrade/daemon/stopsignal.h>

#include <CLI/CLI.hpp>

#include <iostream>

namespace monsoongrade::daemon {

CommandLine readCommandLine(const std::string &program, const std::string &purpose, int argc,
                            char **argv)
{
    CLI::App app(purpose, program);
    std::string path;
    bool checkOnly = false;
    app.add_option("--config", path, "YAML file with this daemon's settings")->required();
    app.add_flag("--check", checkOnly, "check the settings and exit");
    app.set_version_flag("--version", std::string(MONSOONGRADE_VERSION));
    if (const auto exitCode = parseArguments(app, argc, argv))
        return {std::nullopt, *exitCode};
    configuration::DaemonSettings settings;
    const auto parse = [&](const auto &file, auto &problems) {
        settings = configuration::parseDaemonSettings(file, problems);
    };
    if (!readSettingsFile(path, parse))
        return {std::nullopt, ExitBadSettings};
    if (checkOnly)
        return {std::nullopt, ExitOk};
    return {settings, ExitOk};
}

int runDaemon(const std::string &program, const std::string &purpose, int argc, char **argv,
              const std::function<int(const configuration::DaemonSettings &)> &run)
{
    blockStopSignals();
    const CommandLine commandLine = readCommandLine(program, purpose, argc, argv);
    if (!commandLine.settings)
        return commandLine.exitCode;
    observability::startLogging(logLevelFor(commandLine.settings->logLevel));
    try {
        return run(*commandLine.settings);
    } catch (const std::exception &error) {
        std::cerr << program << ": " << error.what() << "\n";
        return ExitFailed;
    }
}

} // namespace monsoongrade::daemon
