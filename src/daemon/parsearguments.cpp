#include <monsoongrade/daemon/parsearguments.h>

#include <monsoongrade/daemon/commandline.h>

#include <CLI/CLI.hpp>

#include <iostream>

namespace monsoongrade::daemon {

std::optional<int> parseArguments(CLI::App &app, int argc, char **argv)
{
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &error) {
        const bool isFault = app.exit(error) != 0;
        // The library names what is missing first, and then no word that it does not know.
        if (isFault && error.get_name() != "ExtrasError") {
            for (const std::string &word : app.remaining(true))
                std::cerr << "not known here: " << word << "\n";
        }
        return isFault ? ExitBadSettings : ExitOk;
    }
    return std::nullopt;
}

} // namespace monsoongrade::daemon
