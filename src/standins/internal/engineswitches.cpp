#include <standins/internal/engineswitches.h>

#include <nlohmann/json.hpp>

namespace monsoongrade::standins::internal {

using nlohmann::json;

bool EngineSwitches::takeReset()
{
    if (resetNext < 0)
        return true;
    if (resetNext == 0)
        return false;
    --resetNext;
    return true;
}

std::optional<EngineSwitches> EngineSwitches::changedBy(const std::string &text) const
{
    const json body = json::parse(text, nullptr, false);
    if (!body.is_object())
        return std::nullopt;
    EngineSwitches next = *this;
    try {
        next.slow = body.value("slow", next.slow);
        next.frozen = body.value("freeze", next.frozen);
        next.crashAfterTokens = body.value("crash_after_tokens", next.crashAfterTokens);
        next.refuse = body.value("refuse", next.refuse);
        next.reset = body.value("reset", next.reset);
        next.resetNext = body.value("reset_next", body.contains("reset") ? -1 : next.resetNext);
        next.draining = body.value("draining", next.draining);
        next.loadLag = std::chrono::milliseconds(
            body.value("load_lag_ms", static_cast<std::int64_t>(next.loadLag.count())));
        next.crash = body.value("crash", false);
    } catch (const json::exception &) {
        return std::nullopt;
    }
    return next;
}

} // namespace monsoongrade::standins::internal
