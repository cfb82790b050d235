#include <monsoongrade/configuration/configurationstore.h>
#include <monsoongrade/configuration/folder.h>
#include <monsoongrade/daemon/commandline.h>
#include <monsoongrade/endpoints/curlendpointclient.h>
#include <monsoongrade/platform/httpplatform.h>

#include <CLI/CLI.hpp>

#include <iostream>
#include <random>

namespace {

using namespace monsoongrade;

int printProblems(const configuration::Problems &problems)
{
    for (const configuration::Problem &problem : problems)
        std::cerr << configuration::describe(problem) << "\n";
    return problems.empty() ? daemon::ExitOk : daemon::ExitBadSettings;
}

int checkFolder(const std::string &folder)
{
    return units::orElse(
        [&]() -> units::Result<int> {
            BOOST_LEAF_AUTO(files, configuration::readFolder(folder));
            const auto parsed = configuration::parseConfiguration(files);
            if (parsed.isValid())
                std::cout << files.size() << " files are valid\n";
            return printProblems(parsed.problems);
        },
        [](const units::Error &error) {
            std::cerr << units::describe(error) << "\n";
            return daemon::ExitFailed;
        });
}

std::string newChangeId()
{
    std::random_device random;
    return std::to_string(random()) + "-" + std::to_string(random());
}

int applyFolder(const std::string &folder, const std::string &platformUrl)
{
    endpoints::CurlEndpointClient client;
    platform::HttpPlatform platform(client, platformUrl);
    configuration::ConfigurationStore store(platform);
    return units::orElse(
        [&]() -> units::Result<int> {
            BOOST_LEAF_AUTO(files, configuration::readFolder(folder));
            BOOST_LEAF_AUTO(applied, store.apply(files, newChangeId()));
            if (applied.problems.empty())
                std::cout << "accepted as generation " << applied.generation << "\n";
            return printProblems(applied.problems);
        },
        [](const units::Error &error) {
            std::cerr << units::describe(error) << "\n";
            return daemon::ExitFailed;
        });
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Operates a monsoongrade cluster.", "monsoongradectl");
    app.set_version_flag("--version", std::string(MONSOONGRADE_VERSION));
    app.require_subcommand(1);
    std::string folder;
    std::string platform;
    auto *checkCommand = app.add_subcommand("check", "check a folder of configuration files");
    checkCommand->add_option("folder", folder, "folder or one file")->required();
    auto *applyCommand = app.add_subcommand("apply", "put files into force");
    applyCommand->add_option("folder", folder, "folder or one file")->required();
    applyCommand->add_option("--platform", platform, "http://address:port of the platform's API")
        ->required();
    CLI11_PARSE(app, argc, argv);
    return *checkCommand ? checkFolder(folder) : applyFolder(folder, platform);
}
