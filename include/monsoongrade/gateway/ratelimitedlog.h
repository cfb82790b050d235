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

// Log lines with a fixed budget per event and second, so that a burst of refusals costs a bounded
// share of the processor. Suppressed lines are counted and reported once a second.
class RateLimitedLog
{
public:
    explicit RateLimitedLog(httpio::Timers &timers);

    // True if a line of this event may be written now; false lines are counted.
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
