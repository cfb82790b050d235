#include <monsoongrade/daemon/parsearguments.h>

#include <monsoongrade/daemon/commandline.h>

#include <CLI/CLI.hpp>

namespace monsoongrade::daemon {

std::optional<int> parseArguments(CLI::App &app, int argc, char **argv)
{
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &error) {
        return app.exit(error) == 0 ? ExitOk : ExitBadSettings;
    }
    return std::nullopt;
}

} // namespace monsoongrade::daemon
