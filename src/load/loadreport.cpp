#include <monsoongrade/load/loadreport.h>

#include <monsoongrade/load/loadseries.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>

namespace monsoongrade::load {

namespace {

using nlohmann::json;

double seconds(units::Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

double quantile(const std::vector<double> &sorted, double share)
{
    if (sorted.empty())
        return 0;
    const auto index = static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1));
    return sorted[index];
}

ClassReport classReport(const LoadClass &loadClass, const std::vector<LoadResult> &results)
{
    ClassReport report;
    report.name = loadClass.name;
    std::vector<double> firstTokens;
    for (const LoadResult &result : results) {
        if (result.className != loadClass.name)
            continue;
        ++report.sent;
        ++report.byOutcome[loadOutcomeName(result.outcome)];
        if (result.outcome != LoadOutcome::Answered) {
            ++report.byReason[result.reason.empty() ? "none" : result.reason];
            continue;
        }
        report.tokensDelivered += result.tokens;
        firstTokens.push_back(seconds(result.firstToken));
        report.attained += isAttained(loadClass, result) ? 1 : 0;
    }
    std::sort(firstTokens.begin(), firstTokens.end());
    report.firstTokenP50 = quantile(firstTokens, 0.50);
    report.firstTokenP95 = quantile(firstTokens, 0.95);
    report.firstTokenP99 = quantile(firstTokens, 0.99);
    return report;
}

std::size_t countOf(const std::map<std::string, std::size_t> &counts, LoadOutcome outcome)
{
    const auto found = counts.find(loadOutcomeName(outcome));
    return found == counts.end() ? 0 : found->second;
}

std::size_t brokenIn(const ClassReport &report)
{
    std::size_t count = 0;
    for (const LoadOutcome outcome :
         {LoadOutcome::Mixed, LoadOutcome::CutShort, LoadOutcome::Unequal, LoadOutcome::Lost})
        count += countOf(report.byOutcome, outcome);
    return count;
}

json classJson(const ClassReport &report)
{
    return {{"class", report.name},
            {"sent", report.sent},
            {"outcomes", report.byOutcome},
            {"reasons", report.byReason},
            {"attained", report.attained},
            {"attainment", report.attainment()},
            {"tokens_delivered", report.tokensDelivered},
            {"first_token_p50_s", report.firstTokenP50},
            {"first_token_p95_s", report.firstTokenP95},
            {"first_token_p99_s", report.firstTokenP99}};
}

json resultJson(const LoadResult &result)
{
    return {{"class", result.className},
            {"outcome", loadOutcomeName(result.outcome)},
            {"code", result.code},
            {"sent_at_s", seconds(result.sentAt)},
            {"first_token_s", seconds(result.firstToken)},
            {"whole_s", seconds(result.whole)},
            {"tokens", result.tokens},
            {"attempts", result.attempts}};
}

json seriesJson(const ClassSeries &series)
{
    json points = json::array();
    for (const SeriesPoint &point : series.points)
        points.push_back({{"second", point.second},
                          {"sent", point.sent},
                          {"answered", point.answered},
                          {"attained", point.attained},
                          {"refused", point.refused},
                          {"failed", point.failed},
                          {"first_token_p95_s", point.firstTokenP95}});
    return {{"class", series.name}, {"points", points}};
}

} // namespace

double ClassReport::attainment() const
{
    return sent == 0 ? 0 : static_cast<double>(attained) / static_cast<double>(sent);
}

std::int64_t LoadReport::tokensDelivered() const
{
    std::int64_t total = 0;
    for (const ClassReport &report : classes)
        total += report.tokensDelivered;
    return total;
}

double LoadReport::wastedShare() const
{
    if (engines.tokensMade <= 0)
        return engines.tokensMade < 0 ? -1 : 0;
    return 1 - static_cast<double>(tokensDelivered()) / static_cast<double>(engines.tokensMade);
}

bool LoadReport::hasBrokenPromise() const
{
    return std::any_of(classes.begin(), classes.end(),
                       [](const ClassReport &report) { return brokenIn(report) > 0; });
}

LoadReport makeReport(const LoadScript &script, const std::vector<LoadResult> &results)
{
    LoadReport report;
    for (const LoadClass &loadClass : script.classes)
        report.classes.push_back(classReport(loadClass, results));
    for (const LoadResult &result : results)
        report.seconds = std::max(report.seconds, seconds(result.sentAt + result.whole));
    return report;
}

std::string reportTable(const LoadReport &report)
{
    char line[256];
    std::snprintf(line, sizeof(line), "%-16s %6s %8s %7s %6s %6s %9s %8s %8s %8s\n", "class",
                  "sent", "answered", "refused", "failed", "broken", "attained", "p50 s", "p95 s",
                  "p99 s");
    std::string out = line;
    for (const ClassReport &c : report.classes) {
        const std::size_t broken = brokenIn(c);
        std::snprintf(
            line, sizeof(line), "%-16s %6zu %8zu %7zu %6zu %6zu %8.1f%% %8.3f %8.3f %8.3f\n",
            c.name.c_str(), c.sent, countOf(c.byOutcome, LoadOutcome::Answered),
            countOf(c.byOutcome, LoadOutcome::Refused), countOf(c.byOutcome, LoadOutcome::Failed),
            broken, 100 * c.attainment(), c.firstTokenP50, c.firstTokenP95, c.firstTokenP99);
        out += line;
        for (const auto &[reason, count] : c.byReason)
            out += "    " + reason + ": " + std::to_string(count) + "\n";
    }
    std::snprintf(line, sizeof(line), "goodput %.0f tokens/s over %.1f s",
                  static_cast<double>(report.tokensDelivered()) / std::max(1e-9, report.seconds),
                  report.seconds);
    out += line;
    if (report.wastedShare() >= 0) {
        std::snprintf(line, sizeof(line), ", wasted work %.2f%% of %lld tokens made",
                      100 * report.wastedShare(),
                      static_cast<long long>(report.engines.tokensMade));
        out += line;
    }
    return out + "\n";
}

std::string reportJson(const LoadReport &report, const std::vector<ClassSeries> &series,
                       const std::vector<LoadResult> &results)
{
    json out;
    for (const ClassReport &c : report.classes)
        out["classes"].push_back(classJson(c));
    out["tokens_delivered"] = report.tokensDelivered();
    out["tokens_made"] = report.engines.tokensMade;
    out["runs_begun"] = report.engines.runsBegun;
    out["wasted_share"] = report.wastedShare();
    out["seconds"] = report.seconds;
    out["broken_promise"] = report.hasBrokenPromise();
    for (const ClassSeries &one : series)
        out["series"].push_back(seriesJson(one));
    for (const LoadResult &result : results)
        out["requests"].push_back(resultJson(result));
    return out.dump(1);
}

} // namespace monsoongrade::load
