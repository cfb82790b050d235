#include "steps.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iostream>

namespace monsoongrade::scenarios {

namespace {

using configuration::MappingReader;
using load::LoadResult;
using nlohmann::json;

// From when the router asked for a slot to when it gave the final answer, by its own records;
// nothing where it keeps none of both.
std::optional<double> heldByRouter(Cluster &cluster, const LoadResult &result)
{
    const std::string operators = result.address.substr(0, result.address.rfind(':')) + ":8081";
    const auto answer
        = cluster.call("GET", operators + "/operator/explain?request=" + result.requestId, {},
                       Cluster::operatorHeaders());
    const json page = json::parse(answer.body, nullptr, false);
    if (answer.status != 200 || page.is_discarded())
        return std::nullopt;
    std::optional<double> asked;
    for (const json &decision : page["decisions"]) {
        const double after = decision["after_ms"].get<double>();
        if (decision["decision"] == "queued")
            asked = after;
        else if (decision["decision"] == "refused" && asked)
            return after - *asked;
    }
    return std::nullopt;
}

std::string summary(std::vector<double> times)
{
    std::sort(times.begin(), times.end());
    const auto at = [&](double share) {
        return std::to_string(times[static_cast<std::size_t>(share * double(times.size() - 1))]);
    };
    return std::to_string(times.size()) + " times, median " + at(0.5) + ", 99% " + at(0.99)
        + ", most " + at(1) + " ms";
}

// expect-refusal-times: {load: crowd, code: 2001, router: "<= 1000"}: of each refusal with this
// code the milliseconds from the router's ask for a slot to its final answer. A refusal on arrival
// is decided within this time, so it bounds how long the answer was held back. The figures are
// printed, and those of callers beside them.
Action readExpectRefusalTimes(MappingReader &step, const std::string &word)
{
    MappingReader item = step.mapping(word);
    const std::string load = item.requiredText("load");
    const std::int64_t code = item.integer("code", 0, 0, 9999);
    const Condition condition = readCondition(item, "router", item.requiredText("router"));
    item.finish();
    return [=](Stage &stage) {
        std::vector<double> held;
        std::vector<double> seen;
        for (const LoadResult &result : stage.results(load)) {
            if (result.outcome != load::LoadOutcome::Refused || result.code != code)
                continue;
            const auto time = heldByRouter(stage.cluster(), result);
            if (!time)
                stage.fail("what " + result.address + " knows of " + result.requestId,
                           "queued and refused", "less");
            held.push_back(time.value_or(0));
            seen.push_back(std::chrono::duration<double, std::milli>(result.whole).count());
        }
        if (held.empty())
            return stage.fail("refusals of " + load, "some", "none");
        std::cout << "refusals of " << load << " with code " << code << ": in the router "
                  << summary(held) << "; as callers saw " << summary(seen) << "\n";
        const double most = *std::max_element(held.begin(), held.end());
        if (!condition.holds(most))
            stage.fail("slowest refusal of " + load + " in a router, in ms", condition.text(),
                       std::to_string(most));
    };
}

} // namespace

std::map<std::string, StepReader> refusalSteps()
{
    return {{"expect-refusal-times", readExpectRefusalTimes}};
}

} // namespace monsoongrade::scenarios
