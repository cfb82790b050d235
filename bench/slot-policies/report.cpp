#include "report.h"

#include <monsoongrade/load/barplot.h>

#include <algorithm>
#include <functional>
#include <iomanip>
#include <sstream>

namespace monsoongrade::bench {

namespace {

using Measure = std::function<double(const Result &)>;

constexpr int PlottedRouters = 6;

// Of sorted values; with an even number of them the mean of the two in the middle.
double median(const std::vector<double> &values)
{
    const std::size_t middle = values.size() / 2;
    return values.size() % 2 == 1 ? values[middle] : (values[middle - 1] + values[middle]) / 2;
}

std::vector<double> sorted(const Line &line, const Measure &measure)
{
    std::vector<double> values;
    values.reserve(line.results.size());
    for (const Result &result : line.results)
        values.push_back(measure(result));
    std::sort(values.begin(), values.end());
    return values;
}

// "median (least-most)", or the median alone where all runs agree.
std::string summary(const Line &line, const Measure &measure, int digits)
{
    const std::vector<double> values = sorted(line, measure);
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

std::vector<std::string> comparedPolicies()
{
    return {policyName(PolicyKind::FleetWide), policyName(PolicyKind::FixedShare),
            policyName(PolicyKind::TwoChoices)};
}

std::string attainment(const Line &line)
{
    return perClass(
        line, [](const auto &each) { return each.attainment; }, 1);
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

const Line *Report::find(const Line &like, const std::string &policy) const
{
    Line wanted = like;
    wanted.policy = policy;
    for (const Line &line : lines_) {
        if (line.isSameSetup(wanted))
            return &line;
    }
    return nullptr;
}

void Report::print(std::ostream &out) const
{
    out << "Medians over the seeds (least-most), by class with the highest tier first. Percent, but"
           " for seconds and counts.\n\n";
    printAttainment(out);
    printWork(out);
    printCost(out);
}

void Report::printAttainment(std::ostream &out) const
{
    out << "| site, script | routers ";
    for (const std::string &policy : comparedPolicies())
        out << "| " << policy << " ";
    out << "|\n|---|---|---|---|---|\n";
    for (const Line &line : lines_) {
        if (line.policy != comparedPolicies().front())
            continue;
        out << "| " << line.site << ", " << line.script << " | " << line.routers;
        for (const std::string &policy : comparedPolicies()) {
            const Line *found = find(line, policy);
            out << " | " << (found == nullptr ? "" : attainment(*found));
        }
        out << " |\n";
    }
    out << "\n";
}

void Report::printWork(std::ostream &out) const
{
    out << "| site, script | policy | routers | attainment | tokens granted | within 63 ms between "
           "tokens | goodput | wasted |\n|---|---|---|---|---|---|---|---|\n";
    for (const Line &line : lines_) {
        out << "| " << line.site << ", " << line.script << " | " << line.policy << " | "
            << line.routers << " | " << attainment(line) << " | "
            << perClass(
                   line, [](const auto &each) { return each.tokensGranted; }, 1)
            << " | "
            << perClass(
                   line, [](const auto &each) { return each.betweenTokensKept; }, 1)
            << " | "
            << summary(
                   line, [](const auto &r) { return r.goodput; }, 1)
            << " | "
            << summary(
                   line, [](const auto &r) { return r.wasted; }, 2)
            << " |\n";
    }
    out << "\n";
}

void Report::printCost(std::ostream &out) const
{
    out << "| site, script | policy | routers | completed | first token p95 s | between tokens p95 "
           "ms"
           " | prefill saved | messages | bytes | at death, after | small workspaces | most "
           "returns/s"
           " | refusals |\n|---|---|---|---|---|---|---|---|---|---|---|---|---|\n";
    for (const Line &line : lines_) {
        const auto cell = [&](const Measure &measure, int digits = 1) {
            return " | " + summary(line, measure, digits);
        };
        out << "| " << line.site << ", " << line.script << " | " << line.policy << " | "
            << line.routers << " | "
            << perClass(
                   line, [](const auto &each) { return each.completed; }, 1)
            << " | "
            << perClass(
                   line, [](const auto &each) { return each.firstTokenP95; }, 1)
            << " | "
            << perClass(
                   line, [](const auto &each) { return each.betweenTokensP95; }, 0)
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

std::string Report::svg() const
{
    std::vector<load::BarChart> charts;
    for (const Line &line : lines_) {
        if (line.policy != comparedPolicies().front() || line.routers != PlottedRouters)
            continue;
        for (std::size_t tier = 0; tier < line.results.front().classes.size(); ++tier) {
            const std::string title
                = line.site + ", " + line.results.front().classes[tier].name + ": attainment, %";
            auto chart = std::find_if(charts.begin(), charts.end(),
                                      [&](const auto &each) { return each.title == title; });
            if (chart == charts.end())
                chart = charts.insert(charts.end(), {title, {}});
            load::BarGroup group{line.script, {}};
            for (const std::string &policy : comparedPolicies()) {
                const Line *found = find(line, policy);
                const auto attained = [&](const Result &result) {
                    return result.classes[tier].attainment;
                };
                group.percents.push_back(found == nullptr ? 0 : median(sorted(*found, attained)));
            }
            chart->groups.push_back(group);
        }
    }
    return load::plotBarsSvg(charts, comparedPolicies(), 1);
}

} // namespace monsoongrade::bench
