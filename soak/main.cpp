#include "soakparties.h"
#include "soakrun.h"

#include <CLI/CLI.hpp>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>

namespace {

constexpr int ExitBadCommandLine = 2;

} // namespace

// Plays seeded runs of faults against real gateways; see soak/README.md.
int main(int argc, char **argv)
{
    using namespace monsoongrade::soak;
    CLI::App app("Plays random faults against gateways and checks what callers and endpoints see.",
                 "monsoongrade-soak");
    SoakSettings settings;
    int seconds = int(settings.length.count());
    std::uint32_t runs = 1;
    app.add_option("--gateway", settings.gateway, "path of monsoongrade-gateway")->required();
    app.add_option("--folder", settings.folder, "folder for settings and logs")->required();
    app.add_option("--seed", settings.seed, "seed of the first run")->capture_default_str();
    app.add_option("--runs", runs, "runs, each with the next seed")->capture_default_str();
    app.add_option("--seconds", seconds, "length of the load")
        ->check(CLI::Range(8, 3600))
        ->capture_default_str();
    app.add_option("--hosts", settings.hosts, "gateways")
        ->check(CLI::Range(2, 100))
        ->capture_default_str();
    std::vector<std::string> faults;
    app.add_option("--fault", faults,
                   "fault to play in place of those of the seed, BEGIN-END:KIND:TARGET in ms");
    CLI11_PARSE(app, argc, argv);
    for (const std::string &text : faults) {
        const auto fault = parseFault(text);
        const bool isPlayable
            = fault && fault->target < (isOfEndpoint(fault->kind) ? Endpoints : settings.hosts);
        if (!isPlayable) {
            std::cerr << "monsoongrade-soak: --fault is not BEGIN-END:KIND:TARGET, or has no such "
                         "target: "
                      << text << "\n";
            return ExitBadCommandLine;
        }
        settings.faults.push_back(*fault);
    }
    std::signal(SIGPIPE, SIG_IGN);
    settings.length = std::chrono::seconds(seconds);
    const std::string folder = settings.folder;
    int failed = 0;
    for (std::uint32_t run = 0; run < runs; ++run, ++settings.seed) {
        settings.folder = folder + "/seed-" + std::to_string(settings.seed);
        std::filesystem::remove_all(settings.folder);
        std::filesystem::create_directories(settings.folder);
        SoakRun soak(settings);
        if (!soak.play()) {
            std::cout << "seed " << settings.seed << ": the gateways did not start\n";
            ++failed;
            continue;
        }
        std::ofstream(settings.folder + "/requests.txt") << soak.requests();
        const std::vector<std::string> violations = soak.violations();
        std::cout << "seed " << settings.seed << ": " << violations.size() << " broken\n";
        if (!violations.empty() || runs == 1)
            std::cout << soak.table();
        for (const std::string &violation : violations)
            std::cout << "  " << violation << "\n";
        std::cout.flush();
        failed += violations.empty() ? 0 : 1;
    }
    std::cout << runs - std::uint32_t(failed) << " of " << runs << " runs without a fault\n";
    return failed == 0 ? 0 : 1;
}
