#include <monsoongrade/daemon/commandline.h>

#include <monsoongrade/configuration/folder.h>
#include <monsoongrade/daemon/loglevels.h>
#include <monsoongrade/daemon/parsearguments.h>
#include <monsoongrade/daemon/stopsignal.h>

#include <CLI/CLI.hpp>

#include <iostream>

namespace monsoongrade::daemon {

namespace {

configuration::Problems readSettings(const std::string &path,
                                     configuration::DaemonSettings &settings)
{
    configuration::Problems problems;
    units::orElse(
        [&]() -> units::Result<void> {
            BOOST_LEAF_AUTO(file, configuration::readFile(path));
            settings = configuration::parseDaemonSettings(file, problems);
            return {};
        },
        [&](const units::Error &error) {
            problems.push_back({error.code, path, 0, {}, error.message});
        });
    return problems;
}

} // namespace

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
    const configuration::Problems problems = readSettings(path, settings);
    for (const configuration::Problem &problem : problems)
        std::cerr << configuration::describe(problem) << "\n";
    if (!problems.empty())
        return {std::nullopt, ExitBadSettings};
    if (checkOnly)
        return {std::nullopt, ExitOk};
    return {settings, ExitOk};
}

int runDaemon(const std::string &program, const std::string &purpose, int argc, char **argv,
              const std::function<int(const configuration::DaemonSettings &)> &run)
{
    const CommandLine commandLine = readCommandLine(program, purpose, argc, argv);
    if (!commandLine.settings)
        return commandLine.exitCode;
    blockStopSignals();
    observability::startLogging(logLevelFor(commandLine.settings->logLevel));
    try {
        return run(*commandLine.settings);
    } catch (const std::exception &error) {
        std::cerr << program << ": " << error.what() << "\n";
        return ExitFailed;
    }
}

} // namespace monsoongrade::daemon
