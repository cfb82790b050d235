#include <monsoongrade/configuration/folder.h>
#include <monsoongrade/daemon/commandline.h>
#include <monsoongrade/endpoints/curlendpointclient.h>
#include <monsoongrade/endpoints/wholeanswer.h>
#include <monsoongrade/load/loadreport.h>
#include <monsoongrade/load/loadrunner.h>

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <fstream>
#include <iostream>

namespace {

using namespace monsoongrade;

load::EngineTotals askEngines(endpoints::EndpointClient &client,
                              const std::vector<std::string> &engines)
{
    load::EngineTotals totals;
    for (const std::string &engine : engines) {
        endpoints::EndpointRequest request;
        request.method = "GET";
        request.url = engine + "/runs";
        const auto answer = endpoints::callAndWait(client, request);
        const auto body = nlohmann::json::parse(answer.body, nullptr, false);
        if (!body.is_object())
            continue;
        totals.tokensMade = std::max<std::int64_t>(0, totals.tokensMade) + body.value("tokens", 0);
        totals.runsBegun = std::max<std::int64_t>(0, totals.runsBegun);
        for (const auto &run : body["requests"])
            totals.runsBegun += run.value("begun", 0);
    }
    return totals;
}

int runScript(const load::LoadScript &script, const std::string &jsonPath)
{
    endpoints::CurlEndpointClient client;
    const load::EngineTotals before = askEngines(client, script.engines);
    const auto results
        = load::runLoad(script, client, [](const std::string &line) { std::cerr << line << "\n"; });
    load::LoadReport report = load::makeReport(script, results);
    report.engines = askEngines(client, script.engines);
    if (report.engines.tokensMade >= 0) {
        report.engines.tokensMade -= before.tokensMade;
        report.engines.runsBegun -= before.runsBegun;
    }
    std::cout << load::reportTable(report);
    if (!jsonPath.empty())
        std::ofstream(jsonPath) << load::reportJson(report, results) << "\n";
    return report.hasBrokenPromise() ? daemon::ExitFailed : daemon::ExitOk;
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Drives a running system by a script and reports per class.", "monsoongrade-load");
    std::string path;
    std::string jsonPath;
    bool checkOnly = false;
    app.add_option("--config", path, "YAML load script")->required();
    app.add_option("--json", jsonPath, "also write the report to this file");
    app.add_flag("--check", checkOnly, "check the script and exit");
    app.set_version_flag("--version", std::string(MONSOONGRADE_VERSION));
    CLI11_PARSE(app, argc, argv);
    return units::orElse(
        [&]() -> units::Result<int> {
            BOOST_LEAF_AUTO(file, configuration::readFile(path));
            configuration::Problems problems;
            const load::LoadScript script = load::parseLoadScript(file, problems);
            for (const auto &problem : problems)
                std::cerr << configuration::describe(problem) << "\n";
            if (!problems.empty())
                return daemon::ExitBadSettings;
            return checkOnly ? daemon::ExitOk : runScript(script, jsonPath);
        },
        [](const units::Error &error) {
            std::cerr << units::describe(error) << "\n";
            return daemon::ExitBadSettings;
        });
}
