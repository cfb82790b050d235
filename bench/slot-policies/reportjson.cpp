#include "report.h"

#include <nlohmann/json.hpp>

namespace monsoongrade::bench {

namespace {

template <typename Type>
struct Field
{
    const char *name;
    double Type::*value;
};

constexpr Field<ClassResult> ClassFields[] = {
    {"attainment", &ClassResult::attainment},
    {"completed", &ClassResult::completed},
    {"tokens-granted", &ClassResult::tokensGranted},
    {"first-token-p95-s", &ClassResult::firstTokenP95},
    {"between-tokens-p95-ms", &ClassResult::betweenTokensP95},
    {"between-tokens-kept", &ClassResult::betweenTokensKept},
};

constexpr Field<Result> ResultFields[] = {
    {"goodput", &Result::goodput},
    {"wasted", &Result::wasted},
    {"prefill-saved", &Result::prefillSaved},
    {"messages-per-request", &Result::messagesPerRequest},
    {"bytes-per-request", &Result::bytesPerRequest},
    {"attained-at-death", &Result::attainedAtDeath},
    {"attained-after-death", &Result::attainedAfterDeath},
    {"small-workspaces", &Result::smallWorkspaces},
    {"most-returns-per-second", &Result::mostReturns},
};

template <typename Type, std::size_t Count>
void write(nlohmann::json &out, const Field<Type> (&fields)[Count], const Type &from)
{
    for (const Field<Type> &field : fields)
        out[field.name] = from.*field.value;
}

template <typename Type, std::size_t Count>
void read(const nlohmann::json &in, const Field<Type> (&fields)[Count], Type &to)
{
    for (const Field<Type> &field : fields)
        to.*field.value = in.at(field.name).template get<double>();
}

Result readResult(const nlohmann::json &run)
{
    Result result;
    read(run, ResultFields, result);
    for (const nlohmann::json &each : run.at("classes")) {
        ClassResult one;
        one.name = each.at("name").get<std::string>();
        read(each, ClassFields, one);
        result.classes.push_back(one);
    }
    run.at("refusals").get_to(result.refusals);
    return result;
}

} // namespace

std::string Report::json() const
{
    nlohmann::json all = nlohmann::json::array();
    for (const Line &line : lines_) {
        for (std::size_t i = 0; i < line.results.size(); ++i) {
            const Result &result = line.results[i];
            nlohmann::json run = {{"site", line.site},
                                  {"script", line.script},
                                  {"policy", line.policy},
                                  {"routers", line.routers},
                                  {"seed", line.firstSeed + static_cast<int>(i)},
                                  {"refusals", result.refusals}};
            write(run, ResultFields, result);
            for (const ClassResult &each : result.classes) {
                nlohmann::json one = {{"name", each.name}};
                write(one, ClassFields, each);
                run["classes"].push_back(one);
            }
            all.push_back(run);
        }
    }
    return all.dump(1);
}

Report Report::fromJson(const std::string &text)
{
    Report report;
    for (const nlohmann::json &run : nlohmann::json::parse(text)) {
        Line line{run.at("site").get<std::string>(),   run.at("script").get<std::string>(),
                  run.at("policy").get<std::string>(), run.at("routers").get<int>(),
                  run.at("seed").get<int>(),           {}};
        if (report.lines_.empty() || !report.lines_.back().isSameSetup(line))
            report.lines_.push_back(line);
        report.lines_.back().results.push_back(readResult(run));
    }
    return report;
}

} // namespace monsoongrade::bench
