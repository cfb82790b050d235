#include <monsoongrade/daemon/settingsfile.h>

#include <monsoongrade/configuration/folder.h>

#include <iostream>

namespace monsoongrade::daemon {

bool readSettingsFile(const std::string &path, const SettingsParser &parse)
{
    configuration::Problems problems;
    units::orElse(
        [&]() -> units::Result<void> {
            BOOST_LEAF_AUTO(file, configuration::readFile(path));
            parse(file, problems);
            return {};
        },
        [&](const units::Error &error) {
            problems.push_back({error.code, path, 0, {}, error.message});
        });
    for (const configuration::Problem &problem : problems)
        std::cerr << configuration::describe(problem) << "\n";
    return problems.empty();
}

} // namespace monsoongrade::daemon
