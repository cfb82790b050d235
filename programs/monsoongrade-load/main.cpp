#include <monsoongrade/daemon/commandline.h>
#include <monsoongrade/daemon/parsearguments.h>
#include <monsoongrade/daemon/settingsfile.h>
#include <monsoongrade/endpoints/curlendpointclient.h>
#include <monsoongrade/load/enginewatch.h>
#include <monsoongrade/load/loadplot.h>
#include <monsoongrade/load/loadreport.h>
#include <monsoongrade/load/loadrunner.h>

#include <CLI/CLI.hpp>

#include <cstdlib>
#include <fstream>
#include <future>
#include <iostream>
#include <thread>

namespace {

using namespace monsoongrade;

constexpr auto LookPeriod = std::chrono::seconds(1);

struct Outputs
{
    std::string json;
    std::string svg;
    std::vector<load::PlotMark> marks;
};

// "12.5=router-1 killed"
bool readMark(const std::string &text, std::vector<load::PlotMark> &marks)
{
    char *end = nullptr;
    const double second = std::strtod(text.c_str(), &end);
    if (end == text.c_str() || *end != '=')
        return false;
    marks.push_back({second, end + 1});
    return true;
}

int runScript(const load::LoadScript &script, const Outputs &outputs)
{
    endpoints::CurlEndpointClient client;
    load::EngineWatch engines(client, script.engines);
    engines.look();
    // Beside the callers: an engine that doesn't answer must not hold them up.
    std::promise<void> ended;
    std::thread looking([&engines, over = ended.get_future()] {
        while (over.wait_for(LookPeriod) != std::future_status::ready)
            engines.look();
    });
    const auto results
        = load::runLoad(script, client, [](const std::string &line) { std::cerr << line << "\n"; });
    ended.set_value();
    looking.join();
    engines.look();
    load::LoadReport report = load::makeReport(script, results);
    report.engines = engines.totals();
    const auto series = load::makeSeries(script, results);
    std::cout << load::reportTable(report);
    if (!outputs.json.empty())
        std::ofstream(outputs.json) << load::reportJson(report, series, results) << "\n";
    if (!outputs.svg.empty())
        std::ofstream(outputs.svg) << load::plotSvg(series, outputs.marks);
    return report.hasBrokenPromise() ? daemon::ExitFailed : daemon::ExitOk;
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Drives a running system by a script and reports per class.", "monsoongrade-load");
    std::string path;
    Outputs outputs;
    std::vector<std::string> marks;
    bool checkOnly = false;
    app.add_option("--config", path, "YAML load script")->required();
    app.add_option("--json", outputs.json, "also write the report to this file");
    app.add_option("--svg", outputs.svg, "also draw attainment and first-token time to this file");
    app.add_option("--mark", marks, "moment to show in the drawing, as SECONDS=LABEL");
    app.add_flag("--check", checkOnly, "check the script and exit");
    app.set_version_flag("--version", std::string(MONSOONGRADE_VERSION));
    if (const auto exitCode = daemon::parseArguments(app, argc, argv))
        return *exitCode;
    for (const std::string &mark : marks) {
        if (!readMark(mark, outputs.marks)) {
            std::cerr << "--mark: expected SECONDS=LABEL, not " << mark << "\n";
            return daemon::ExitBadSettings;
        }
    }
    load::LoadScript script;
    const auto parse = [&](const auto &file, auto &problems) {
        script = load::parseLoadScript(file, problems);
    };
    if (!daemon::readSettingsFile(path, parse))
        return daemon::ExitBadSettings;
    return checkOnly ? daemon::ExitOk : runScript(script, outputs);
}
