#ifndef MONSOONGRADE_GATEWAY_RATELIMITEDLOG_H
#define MONSOONGRADE_GATEWAY_RATELIMITEDLOG_H

#include <monsoongrade/httpio/timers.h>
#include <monsoongrade/observability/log.h>
#include <monsoongrade/observability/metrics.h>
#include <monsoongrade/units/resultcode.h>

#include <initializer_list>
#include <map>
#include <string>
#include <string_view>

namespace monsoongrade::gateway {

// Writes log lines with a fixed budget per event and second, so that a burst of refusals uses a
// bounded share of the CPU. Suppressed lines are counted and reported at most once a second.
class RateLimitedLog
{
public:
    explicit RateLimitedLog(httpio::Timers &timers);

    // Returns whether a line of this event may be written now, and counts it against the budget or
    // as suppressed.
    bool mayWrite(std::string_view event);
    void write(observability::LogLevel level, std::string_view event,
               std::initializer_list<observability::LogField> fields);

    observability::Metrics metrics;

private:
    struct Budget
    {
        units::TimePoint windowStart;
        int written = 0;
        std::int64_t suppressed = 0;
    };

    httpio::Timers &timers_;
    std::map<std::string, Budget, std::less<>> budgets_;
};

} // namespace monsoongrade::gateway

#endif // MONSOONGRADE_GATEWAY_RATELIMITEDLOG_H
