#include <monsoongrade/daemon/standincommandline.h>

#include <monsoongrade/daemon/commandline.h>
#include <monsoongrade/daemon/parsearguments.h>

#include <CLI/CLI.hpp>

#include <iostream>

namespace monsoongrade::daemon {

std::optional<int> readStandInCommandLine(CLI::App &app, int argc, char **argv,
                                          const SettingsParser &parse, const std::uint16_t &port)
{
    std::string path;
    bool checkOnly = false;
    app.add_option("--config", path, "YAML file with these settings; options win over it");
    app.add_flag("--check", checkOnly, "check the settings and exit");
    app.set_version_flag("--version", std::string(MONSOONGRADE_VERSION));
    if (const auto exitCode = parseArguments(app, argc, argv))
        return exitCode;
    if (!path.empty()) {
        if (!readSettingsFile(path, parse))
            return ExitBadSettings;
        // Once more, since the file has overwritten what the options gave.
        if (const auto exitCode = parseArguments(app, argc, argv))
            return exitCode;
    }
    if (port == 0) {
        std::cerr << configuration::describe({units::ResultCode::MissingSetting,
                                              path.empty() ? "command line" : path, 0, "port",
                                              "give it in the file or as --port"})
                  << "\n";
        return ExitBadSettings;
    }
    return checkOnly ? std::optional<int>(ExitOk) : std::nullopt;
}

} // namespace monsoongrade::daemon
