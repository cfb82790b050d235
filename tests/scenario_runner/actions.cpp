#include "steps.h"

#include <nlohmann/json.hpp>

#include <csignal>
#include <stdexcept>
#include <thread>

namespace monsoongrade::scenarios {

namespace {

using configuration::MappingReader;
using nlohmann::json;

constexpr auto SendLimit = std::chrono::seconds(20);
constexpr auto RunsLimit = std::chrono::seconds(10);
constexpr auto RunsCheck = std::chrono::milliseconds(10);

StepReader signalStep(int number, bool isDown)
{
    return [number, isDown](MappingReader &step, const std::string &word) -> Action {
        const std::string name = step.requiredText(word);
        return [=](Stage &stage) {
            for (const std::string &one : stage.cluster().chosen(name)) {
                stage.cluster().setDown(one, isDown);
                stage.cluster().process(one).signal(number);
            }
        };
    };
}

// Switch values are written as YAML texts; numbers and flags become such in JSON.
std::string switchesBody(const std::vector<std::pair<std::string, std::string>> &switches)
{
    json body = json::object();
    for (const auto &[name, value] : switches) {
        const json parsed = json::parse(value, nullptr, false);
        body[name] = parsed.is_discarded() ? json(value) : parsed;
    }
    return body.dump();
}

void setSwitches(Cluster &cluster, const std::string &name, const std::string &body)
{
    const int status = cluster.call("PUT", cluster.url(name) + "/admin/switches", body).status;
    // A crash that ends the process leaves no answer.
    if (status != 200 && body.find("crash") == std::string::npos)
        throw std::runtime_error(name + " answers " + std::to_string(status) + " to switches "
                                 + body);
}

Action readPlatform(MappingReader &step, const std::string &word)
{
    const std::string body = switchesBody(step.textPairs(word));
    return [body](Stage &stage) {
        setSwitches(stage.cluster(), "platform", body);
    };
}

Action readEndpoint(MappingReader &step, const std::string &word)
{
    auto switches = step.textPairs(word);
    std::string name;
    for (auto entry = switches.begin(); entry != switches.end(); ++entry) {
        if (entry->first != "name")
            continue;
        name = entry->second;
        switches.erase(entry);
        break;
    }
    if (name.empty())
        step.problem(units::ResultCode::MissingSetting, word, "give the endpoint's name");
    const std::string body = switchesBody(switches);
    return [=](Stage &stage) {
        for (const std::string &one : stage.cluster().chosen(name))
            setSwitches(stage.cluster(), one, body);
    };
}

Action readHosts(MappingReader &step, const std::string &word)
{
    const auto states = step.textPairs(word);
    return [states](Stage &stage) {
        for (const auto &[host, state] : states)
            stage.cluster().setHostState(host, state);
    };
}

Action readSend(MappingReader &step, const std::string &word)
{
    MappingReader item = step.mapping(word);
    load::LoadScript script;
    load::LoadClass loadClass = load::readLoadClass(item);
    const std::string work = item.text("work");
    const std::vector<std::string> routers = item.texts("routers");
    script.giveUpAfter = item.duration("give-up-after", SendLimit);
    item.finish();
    if (loadClass.keys.empty())
        loadClass.keys = {"key-a", "key-b"};
    if (loadClass.model.empty() && loadClass.path.compare(0, 4, "/v1/") == 0)
        loadClass.model = "test-model";
    if (!work.empty())
        loadClass.headers.emplace_back("x-work", work);
    script.seed = std::hash<std::string>()(loadClass.name);
    script.asksForEntryPoints = routers.empty();
    script.classes = {loadClass};
    return [script, routers](Stage &stage) {
        load::LoadScript sent = script;
        for (const std::string &router :
             routers.empty() ? stage.cluster().names("router-") : routers)
            sent.entry.push_back(stage.cluster().url(router));
        stage.send(sent);
    };
}

Action readJoin(MappingReader &step, const std::string &word)
{
    const std::string name = step.text(word);
    return [name](Stage &stage) {
        stage.join(name == "all" ? std::string() : name);
    };
}

Action readWait(MappingReader &step, const std::string &word)
{
    const units::Duration time = step.duration(word, {});
    return [time](Stage &) {
        std::this_thread::sleep_for(time);
    };
}

// Waits until endpoints have begun so many runs, so that a fault falls into the middle of work
// whatever the machine's speed; with since, counted from that mark.
Action readWaitRuns(MappingReader &step, const std::string &word)
{
    MappingReader item = step.mapping(word);
    const std::string endpoint = item.text("endpoint");
    const auto least = static_cast<std::size_t>(item.integer("begun", 1, 1, 1000000));
    const std::string mark = item.text("since");
    const units::Duration limit = item.duration("within", RunsLimit);
    item.finish();
    return [=](Stage &stage) {
        const auto from
            = mark.empty() ? std::chrono::steady_clock::time_point() : stage.marked(mark);
        const auto until = std::chrono::steady_clock::now() + limit;
        std::size_t begun = 0;
        while (std::chrono::steady_clock::now() < until) {
            begun = 0;
            for (const JournalEntry &entry : stage.journal(endpoint))
                begun += entry.event == "begun" && entry.time >= from ? 1 : 0;
            if (begun >= least)
                return;
            std::this_thread::sleep_for(RunsCheck);
        }
        stage.fail("runs begun in time", "at least " + std::to_string(least),
                   std::to_string(begun));
    };
}

Action readRestart(MappingReader &step, const std::string &word)
{
    const std::string name = step.requiredText(word);
    return [name](Stage &stage) {
        for (const std::string &one : stage.cluster().chosen(name))
            stage.cluster().startProcess(one);
    };
}

Action readMark(MappingReader &step, const std::string &word)
{
    const std::string name = step.requiredText(word);
    return [name](Stage &stage) {
        stage.mark(name);
    };
}

std::map<std::string, std::string> asMap(const std::vector<std::pair<std::string, std::string>> &p)
{
    return {p.begin(), p.end()};
}

// One operator's change, or two at the same moment.
Action readApply(MappingReader &step, const std::string &word)
{
    MappingReader item = step.mapping(word);
    const auto files = asMap(item.textPairs("files"));
    const auto others = asMap(item.textPairs("and"));
    const std::int64_t exit = item.integer("exit", 0, -1, 255);
    item.finish();
    return [=, line = step.line()](Stage &stage) {
        const std::string log = "apply-" + std::to_string(line);
        std::future<int> second;
        if (!others.empty())
            second = std::async(std::launch::async,
                                [&] { return stage.cluster().apply(others, log + "-second"); });
        const int first = stage.cluster().apply(files, log);
        if (first != exit)
            stage.fail("exit code of apply", std::to_string(exit), std::to_string(first));
        const int other = second.valid() ? second.get() : 0;
        if (other != 0)
            stage.fail("exit code of the second operator's apply", "0", std::to_string(other));
    };
}

} // namespace

std::map<std::string, StepReader> actionSteps()
{
    return {{"send", readSend},
            {"join", readJoin},
            {"wait", readWait},
            {"wait-runs", readWaitRuns},
            {"mark", readMark},
            {"kill", signalStep(SIGKILL, true)},
            {"stop", signalStep(SIGTERM, true)},
            {"freeze", signalStep(SIGSTOP, true)},
            {"thaw", signalStep(SIGCONT, false)},
            {"restart", readRestart},
            {"platform", readPlatform},
            {"endpoint", readEndpoint},
            {"hosts", readHosts},
            {"apply", readApply}};
}

} // namespace monsoongrade::scenarios
