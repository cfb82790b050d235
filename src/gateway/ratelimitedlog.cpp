#include <monsoongrade/gateway/ratelimitedlog.h>

namespace monsoongrade::gateway {

namespace {

// Writing a line takes about 15 us on a full core, so 20 lines a second for each of a few events
// use less than 1% of a quarter core.
constexpr int LinesPerWindow = 20;
constexpr auto Window = std::chrono::seconds(1);

} // namespace

RateLimitedLog::RateLimitedLog(httpio::Timers &timers)
    : timers_(timers)
{
}

bool RateLimitedLog::mayWrite(std::string_view event)
{
    auto found = budgets_.find(event);
    if (found == budgets_.end())
        found = budgets_.emplace(std::string(event), Budget{}).first;
    Budget &budget = found->second;
    const units::TimePoint now = timers_.now();
    if (now - budget.windowStart >= Window) {
        const std::int64_t suppressed = budget.suppressed;
        budget = {now, 0, 0};
        if (suppressed > 0)
            observability::log(observability::LogLevel::Warning, "log-suppressed",
                               {{"suppressed-event", event}, {"lines", suppressed}});
    }
    if (budget.written >= LinesPerWindow) {
        ++budget.suppressed;
        return false;
    }
    ++budget.written;
    return true;
}

void RateLimitedLog::write(observability::LogLevel level, std::string_view event,
                           std::initializer_list<observability::LogField> fields)
{
    if (mayWrite(event))
        observability::log(level, event, fields);
}

} // namespace monsoongrade::gateway
