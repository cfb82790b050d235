#include "scenario.h"

#include <fstream>
#include <stdexcept>

namespace monsoongrade::scenarios {

namespace {

using configuration::MappingReader;
using units::ResultCode;

constexpr auto UsualLimit = std::chrono::seconds(40);

Step readStep(MappingReader &reader, const std::map<std::string, StepReader> &readers)
{
    Step step;
    for (const auto &[word, read] : readers) {
        if (!reader.has(word))
            continue;
        step.place = reader.file() + ":" + std::to_string(reader.line()) + ": " + word;
        step.action = read(reader, word);
        break;
    }
    if (!step.action)
        reader.problem(ResultCode::UnknownSetting, {}, "no step is named so");
    reader.finish();
    return step;
}

void checkNobodyDied(Stage &stage)
{
    stage.setPlace("at the end");
    for (const std::string &name : stage.cluster().names()) {
        const auto code = stage.cluster().process(name).exitCode();
        if (code && !stage.cluster().isDown(name))
            stage.fail(name, "still runs", "ended with " + std::to_string(*code));
    }
}

} // namespace

Scenario readScenario(const configuration::SourceFile &file, configuration::Problems &problems)
{
    Scenario scenario;
    YAML::Node root;
    try {
        root = YAML::Load(file.text);
    } catch (const YAML::Exception &error) {
        problems.push_back({ResultCode::NotYaml, file.name, error.mark.line + 1, {}, error.msg});
        return scenario;
    }
    MappingReader reader(file.name, root, problems);
    scenario.limit = reader.duration("limit", UsualLimit);
    scenario.cluster = readClusterPlan(reader.mapping("cluster"));
    auto readers = actionSteps();
    readers.merge(networkSteps());
    readers.merge(expectationSteps());
    readers.merge(runExpectationSteps());
    readers.merge(refusalSteps());
    for (MappingReader &step : reader.mappings("steps"))
        scenario.steps.push_back(readStep(step, readers));
    reader.finish();
    return scenario;
}

std::size_t runScenario(const Scenario &scenario, const std::string &programs,
                        const std::string &folder)
{
    Stage stage(scenario.cluster, programs, folder);
    std::ofstream log(folder + "/steps.log");
    const auto begin = std::chrono::steady_clock::now();
    try {
        stage.setPlace("starting");
        stage.cluster().start();
        for (const Step &step : scenario.steps) {
            stage.setPlace(step.place);
            const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::steady_clock::now() - begin);
            log << now.count() << " ms " << step.place << std::endl;
            step.action(stage);
        }
        stage.join({});
        checkNobodyDied(stage);
    } catch (const std::exception &error) {
        stage.fail("the scenario", "goes on", error.what());
    }
    return stage.failures();
}

} // namespace monsoongrade::scenarios
