#include <load/internal/plannedcall.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <random>

namespace monsoongrade::load::internal {

namespace {

using nlohmann::json;
using Random = std::mt19937_64;

constexpr std::size_t PrefixBytes = 256;

std::string promptFor(const LoadClass &loadClass, std::size_t number, Random &random)
{
    std::string prompt;
    if (loadClass.prefixes > 0)
        prompt.assign(
            PrefixBytes,
            static_cast<char>('a' + random() % std::min<std::size_t>(26, loadClass.prefixes)));
    prompt += "request " + std::to_string(number) + " " + std::to_string(random()) + " ";
    if (prompt.size() < loadClass.promptBytes)
        prompt.resize(loadClass.promptBytes, '.');
    return prompt;
}

// Where in its class's time the index-th of count requests arrives, 0 to 1.
double placeOf(const LoadClass &loadClass, std::size_t index, Random &random)
{
    const double jitter = std::uniform_real_distribution<double>(0, 1)(random);
    switch (loadClass.pattern) {
    case ArrivalPattern::Burst:
        return 0;
    case ArrivalPattern::Poisson:
        // A Poisson process of known count has uniform independent places.
        return jitter;
    case ArrivalPattern::Steady:
        break;
    }
    return (static_cast<double>(index) + jitter) / static_cast<double>(loadClass.count);
}

} // namespace

std::vector<PlannedCall> planCalls(const LoadScript &script)
{
    Random random(script.seed);
    std::vector<PlannedCall> calls;
    for (const LoadClass &loadClass : script.classes) {
        for (std::size_t i = 0; i < loadClass.count; ++i) {
            PlannedCall call;
            call.loadClass = &loadClass;
            call.number = calls.size();
            call.caller = i % loadClass.callers;
            call.key = loadClass.keys[random() % loadClass.keys.size()];
            call.start = loadClass.start
                + std::chrono::duration_cast<units::Duration>(loadClass.within
                                                              * placeOf(loadClass, i, random));
            call.tokens = std::uniform_int_distribution<std::int64_t>(loadClass.leastTokens,
                                                                      loadClass.mostTokens)(random);
            call.prompt = promptFor(loadClass, call.number, random);
            call.result.className = loadClass.name;
            call.result.sentAt = call.start;
            if (loadClass.idempotencyKeys || loadClass.repeats > 0)
                call.result.idempotencyKey = loadClass.name + "-" + std::to_string(script.seed)
                    + "-" + std::to_string(call.number);
            for (call.repeat = 0; call.repeat < loadClass.repeats; ++call.repeat)
                calls.push_back(call);
            calls.push_back(std::move(call));
        }
    }
    return calls;
}

std::string bodyOf(const PlannedCall &call)
{
    const LoadClass &loadClass = *call.loadClass;
    if (!loadClass.body.empty() || loadClass.model.empty())
        return loadClass.body;
    return json{{"model", loadClass.model},
                {"stream", loadClass.streamed},
                {"messages", json::array({{{"role", "user"}, {"content", call.prompt}}})},
                {"metadata", {{"answer_tokens", call.tokens}}}}
        .dump();
}

} // namespace monsoongrade::load::internal
