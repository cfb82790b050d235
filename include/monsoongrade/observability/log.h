#ifndef MONSOONGRADE_OBSERVABILITY_LOG_H
#define MONSOONGRADE_OBSERVABILITY_LOG_H

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace monsoongrade::observability {

enum class LogLevel { Debug, Info, Warning, Error };

// One key=value pair of a log line.
class LogField
{
public:
    LogField(std::string_view key, std::string_view value);
    LogField(std::string_view key, std::int64_t value);
    LogField(std::string_view key, double value);
    LogField(std::string_view key, int value)
        : LogField(key, static_cast<std::int64_t>(value))
    {
    }
    LogField(std::string_view key, std::uint64_t value)
        : LogField(key, static_cast<std::int64_t>(value))
    {
    }
    LogField(std::string_view key, const char *value)
        : LogField(key, std::string_view(value))
    {
    }

    const std::string &text() const { return text_; }

private:
    std::string text_;
};

// Sets up logging to standard output, without a log file. Call it once, first thing in main. A
// line never waits for the reader of standard output; see LineSink.
void startLogging(LogLevel least);

// Writes one line: time, level, event=<event> and the fields. Values with spaces, quotes or
// control characters are quoted and escaped. Never pass keys or prompts.
void log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields);

} // namespace monsoongrade::observability

#endif // MONSOONGRADE_OBSERVABILITY_LOG_H
