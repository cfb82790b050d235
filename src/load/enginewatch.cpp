#include <monsoongrade/load/enginewatch.h>

#include <monsoongrade/endpoints/wholeanswer.h>

#include <nlohmann/json.hpp>

namespace monsoongrade::load {

namespace {

constexpr auto AskTimeout = std::chrono::seconds(1);

} // namespace

EngineWatch::EngineWatch(endpoints::EndpointClient &client, std::vector<std::string> engines)
    : client_(client)
    , engines_(std::move(engines))
{
}

void EngineWatch::look()
{
    for (const std::string &engine : engines_) {
        endpoints::EndpointRequest request;
        request.method = "GET";
        request.url = engine + "/totals";
        request.connectTimeout = AskTimeout;
        request.silenceTimeout = AskTimeout;
        const auto answer = endpoints::callAndWait(client_, request);
        const auto body = nlohmann::json::parse(answer.body, nullptr, false);
        if (!body.is_object() || !body.contains("incarnation"))
            continue;
        const auto [entry, isNew] = seen_.emplace(
            std::make_pair(engine, body["incarnation"].get<std::int64_t>()), Seen());
        Seen &seen = entry->second;
        seen.tokens = body.value("tokens", std::int64_t(0));
        seen.runs = body.value("runs", std::int64_t(0));
        if (isNew && !hasLooked_) {
            seen.firstTokens = seen.tokens;
            seen.firstRuns = seen.runs;
        }
    }
    hasLooked_ = true;
}

EngineTotals EngineWatch::totals() const
{
    EngineTotals totals;
    if (seen_.empty())
        return totals;
    totals = {0, 0};
    for (const auto &entry : seen_) {
        totals.tokensMade += entry.second.tokens - entry.second.firstTokens;
        totals.runsBegun += entry.second.runs - entry.second.firstRuns;
    }
    return totals;
}

} // namespace monsoongrade::load
