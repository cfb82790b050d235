#include "report.h"
#include "simulation.h"

#include <CLI/CLI.hpp>

#include <fstream>
#include <iostream>
#include <iterator>

namespace monsoongrade::bench {

namespace {

struct Arguments
{
    int seeds = 3;
    int firstSeed = 1;
    std::string json;
    std::string only;
    std::string from;
    std::string svg;
};

// One line of the table: the same script for every seed.
Line measure(const Site &site, const std::string &scriptName, PolicyKind kind, int routers,
             const Arguments &arguments, Fleet::Options options = {})
{
    Line line{site.name, scriptName, policyName(kind), routers, arguments.firstSeed, {}};
    for (int seed = arguments.firstSeed; seed < arguments.firstSeed + arguments.seeds; ++seed) {
        const Script script = makeScript(scriptName, site, static_cast<std::uint64_t>(seed));
        options.routers = routers;
        options.seed = static_cast<std::uint64_t>(seed);
        line.results.push_back(Simulation(site, script, kind, options).run());
    }
    return line;
}

// The three policies on every script, at both sites.
void comparePolicies(const Arguments &arguments, Report &report)
{
    for (const Site &site : {touchline(), tesfaye(), touchlinePortal(), tesfayeDesk()}) {
        for (const std::string &name : scriptNames()) {
            if (!arguments.only.empty() && arguments.only != name)
                continue;
            if (site.isService && name != "same-minute" && name != "killed")
                continue;
            for (const int routers : {6, 8}) {
                for (const PolicyKind kind :
                     {PolicyKind::FleetWide, PolicyKind::FixedShare, PolicyKind::TwoChoices})
                    report.add(measure(site, name, kind, routers, arguments));
            }
        }
    }
}

// The fleet-wide policy with one thing changed.
void compareVariants(const Arguments &arguments, Report &report)
{
    Fleet::Options untold;
    untold.patienceTold = false;
    for (const Site &each : {touchline(), tesfaye()}) {
        Line line = measure(each, "top-overload", PolicyKind::FleetWide, 6, arguments, untold);
        line.policy = "patience not told";
        report.add(line);
    }
    Site site = touchline();
    for (const double factor : {1.0, 4.0, 16.0}) {
        Fleet::Options options;
        options.wrongLengths = factor;
        Line line = measure(site, "one-class", PolicyKind::FleetWide, 6, arguments, options);
        line.policy = "lengths off by " + std::to_string(static_cast<int>(factor));
        report.add(line);
    }
    site.policy.queueLimit = 100;
    for (const bool spread : {true, false}) {
        site.policy.spreadRetries = spread;
        Line line = measure(site, "one-class", PolicyKind::FleetWide, 6, arguments);
        line.policy = spread ? "queue 100, spread" : "queue 100, not spread";
        report.add(line);
    }
}

Report runAll(const Arguments &arguments)
{
    Report report;
    comparePolicies(arguments, report);
    if (arguments.only.empty())
        compareVariants(arguments, report);
    return report;
}

Report readReport(const std::string &path)
{
    std::ifstream file(path);
    const std::string text((std::istreambuf_iterator<char>(file)),
                           std::istreambuf_iterator<char>());
    return Report::fromJson(text);
}

} // namespace

} // namespace monsoongrade::bench

int main(int argc, char **argv)
{
    using namespace monsoongrade::bench;
    CLI::App app("Plays the same scripts with three policies for slots and compares them");
    Arguments arguments;
    app.add_option("--seeds", arguments.seeds, "runs a line, each with its own seed")
        ->check(CLI::Range(1, 100));
    app.add_option("--first-seed", arguments.firstSeed,
                   "seed of the first run; thresholds are tuned on 1 to 5, reported on 101 to 110")
        ->check(CLI::PositiveNumber);
    app.add_option("--script", arguments.only, "only this script");
    app.add_option("--json", arguments.json, "also write every run to this file");
    app.add_option("--from", arguments.from, "take the runs from this JSON file, run nothing")
        ->check(CLI::ExistingFile);
    app.add_option("--svg", arguments.svg, "also draw the attainment into this file");
    CLI11_PARSE(app, argc, argv);
    Report report = arguments.from.empty() ? runAll(arguments) : readReport(arguments.from);
    report.print(std::cout);
    if (!arguments.svg.empty())
        std::ofstream(arguments.svg) << report.svg();
    if (!arguments.json.empty())
        std::ofstream(arguments.json) << report.json();
    return 0;
}
