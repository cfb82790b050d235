#include "report.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <functional>
#include <iomanip>
#include <sstream>

namespace monsoongrade::bench {

namespace {

using Measure = std::function<double(const Result &)>;

// Of sorted values; with an even number of them the mean of the two in the middle.
double median(const std::vector<double> &values)
{
    const std::size_t middle = values.size() / 2;
    return values.size() % 2 == 1 ? values[middle] : (values[middle - 1] + values[middle]) / 2;
}

// "median (least-most)", or the median alone where all runs agree.
std::string summary(const Line &line, const Measure &measure, int digits)
{
    std::vector<double> values;
    values.reserve(line.results.size());
    for (const Result &result : line.results)
        values.push_back(measure(result));
    std::sort(values.begin(), values.end());
    std::ostringstream out;
    out << std::fixed << std::setprecision(digits) << median(values);
    if (values.back() - values.front() >= 0.1)
        out << " (" << values.front() << "-" << values.back() << ")";
    return out.str();
}

std::string perClass(const Line &line, const std::function<double(const ClassResult &)> &measure,
                     int digits)
{
    std::string text;
    for (std::size_t i = 0; i < line.results.front().classes.size(); ++i) {
        const auto one = [&](const Result &result) {
            return measure(result.classes[i]);
        };
        text += (i == 0 ? "" : " / ") + summary(line, one, digits);
    }
    return text;
}

std::string refusals(const Line &line)
{
    std::map<std::string, double> sums;
    for (const Result &result : line.results) {
        for (const auto &[code, count] : result.refusals)
            sums[code] += count / static_cast<double>(line.results.size());
    }
    std::ostringstream out;
    for (const auto &[code, count] : sums)
        out << (out.tellp() > 0 ? ", " : "") << code << " " << std::llround(count);
    return out.str();
}

} // namespace

std::string policyName(PolicyKind kind)
{
    switch (kind) {
    case PolicyKind::FleetWide:
        return "fleet-wide";
    case PolicyKind::FixedShare:
        return "fixed share";
    case PolicyKind::TwoChoices:
        return "two choices";
    }
    return "";
}

void Report::print(std::ostream &out) const
{
    out << "Medians over the seeds (least-most). Attainment, completed and p95 of the first token"
           " by class, highest tier first. Percent, but for seconds and counts.\n\n"
        << "| site | script | policy | routers | attainment | completed | tokens granted | first "
           "token p95"
           " s | between tokens p95 ms | within 63 ms | goodput | wasted | prefill saved | "
           "messages | bytes | at death, after |"
           " small workspaces | most returns/s | refusals "
           "|\n|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---"
           "|---|---|---|\n";
    for (const Line &line : lines_) {
        const auto cell = [&](const Measure &measure, int digits = 1) {
            return " | " + summary(line, measure, digits);
        };
        out << "| " << line.site << " | " << line.script << " | " << line.policy << " | "
            << line.routers << " | "
            << perClass(
                   line, [](const auto &each) { return each.attainment; }, 1)
            << " | "
            << perClass(
                   line, [](const auto &each) { return each.completed; }, 1)
            << " | "
            << perClass(
                   line, [](const auto &each) { return each.tokensGranted; }, 1)
            << " | "
            << perClass(
                   line, [](const auto &each) { return each.firstTokenP95; }, 1)
            << " | "
            << perClass(
                   line, [](const auto &each) { return each.betweenTokensP95; }, 0)
            << " | "
            << perClass(
                   line, [](const auto &each) { return each.betweenTokensKept; }, 1)
            << cell([](const auto &r) { return r.goodput; })
            << cell([](const auto &r) { return r.wasted; }, 2)
            << cell([](const auto &r) { return r.prefillSaved; })
            << cell([](const auto &r) { return r.messagesPerRequest; })
            << cell([](const auto &r) { return r.bytesPerRequest; }, 0)
            << cell([](const auto &r) { return r.attainedAtDeath; }) << ","
            << summary(
                   line, [](const auto &r) { return r.attainedAfterDeath; }, 1)
            << cell([](const auto &r) { return r.smallWorkspaces; })
            << cell([](const auto &r) { return r.mostReturns; }, 0) << " | " << refusals(line)
            << " |\n";
    }
}

std::string Report::json() const
{
    nlohmann::json all = nlohmann::json::array();
    for (const Line &line : lines_) {
        for (std::size_t i = 0; i < line.results.size(); ++i) {
            const Result &result = line.results[i];
            nlohmann::json classes;
            for (const ClassResult &each : result.classes)
                classes[each.name] = {{"attainment", each.attainment},
                                      {"completed", each.completed},
                                      {"tokens-granted", each.tokensGranted},
                                      {"first-token-p95-s", each.firstTokenP95},
                                      {"between-tokens-p95-ms", each.betweenTokensP95},
                                      {"between-tokens-kept", each.betweenTokensKept}};
            all.push_back({{"site", line.site},
                           {"script", line.script},
                           {"policy", line.policy},
                           {"routers", line.routers},
                           {"seed", line.firstSeed + static_cast<int>(i)},
                           {"classes", classes},
                           {"goodput", result.goodput},
                           {"wasted", result.wasted},
                           {"prefill-saved", result.prefillSaved},
                           {"messages-per-request", result.messagesPerRequest},
                           {"bytes-per-request", result.bytesPerRequest},
                           {"attained-at-death", result.attainedAtDeath},
                           {"attained-after-death", result.attainedAfterDeath},
                           {"small-workspaces", result.smallWorkspaces},
                           {"most-returns-per-second", result.mostReturns},
                           {"refusals", result.refusals}});
        }
    }
    return all.dump(1);
}

} // namespace monsoongrade::bench
