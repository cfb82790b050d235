#include <monsoongrade/observability/log.h>

#include <monsoongrade/observability/linesink.h>

#include <easylogging++.h>

#include <unistd.h>

#include <cstdio>

INITIALIZE_EASYLOGGINGPP

namespace monsoongrade::observability {

namespace {

bool needsQuotes(std::string_view value)
{
    if (value.empty())
        return true;
    for (const char c : value) {
        if (c <= ' ' || c == '"' || c == '=' || c == '\\' || c == 0x7f)
            return true;
    }
    return false;
}

std::string quoted(std::string_view value)
{
    std::string out = "\"";
    for (const char c : value) {
        if (c == '"' || c == '\\') {
            out += '\\';
            out += c;
        } else if (static_cast<unsigned char>(c) < ' ' || c == 0x7f) {
            char escape[8];
            std::snprintf(escape, sizeof(escape), "\\x%02x", static_cast<unsigned char>(c));
            out += escape;
        } else {
            out += c;
        }
    }
    return out + '"';
}

LogLevel leastLevel = LogLevel::Info;

// Takes the place of the library's own output, which blocks.
class SinkDispatch : public el::LogDispatchCallback
{
public:
    SinkDispatch()
        : sink_(STDOUT_FILENO)
    {
    }

protected:
    void handle(const el::LogDispatchData *data) override
    {
        const auto *message = data->logMessage();
        sink_.write(message->logger()->logBuilder()->build(message, false));
    }

private:
    LineSink sink_;
};

} // namespace

LogField::LogField(std::string_view key, std::string_view value)
    : text_(std::string(key) + "=" + (needsQuotes(value) ? quoted(value) : std::string(value)))
{
}

LogField::LogField(std::string_view key, std::int64_t value)
    : text_(std::string(key) + "=" + std::to_string(value))
{
}

LogField::LogField(std::string_view key, double value)
    : text_(std::string(key) + "=")
{
    char number[32];
    std::snprintf(number, sizeof(number), "%.6g", value);
    text_ += number;
}

void startLogging(LogLevel least)
{
    leastLevel = least;
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    configuration.setGlobally(el::ConfigurationType::Format,
                              "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} level=%level %msg");
    el::Loggers::reconfigureAllLoggers(configuration);
    el::Helpers::uninstallLogDispatchCallback<el::base::DefaultLogDispatchCallback>(
        "DefaultLogDispatchCallback");
    el::Helpers::installLogDispatchCallback<SinkDispatch>("SinkDispatch");
}

void log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    if (level < leastLevel)
        return;
    std::string line = "event=" + std::string(event);
    for (const LogField &field : fields)
        line += " " + field.text();
    switch (level) {
    case LogLevel::Debug:
        LOG(DEBUG) << line;
        break;
    case LogLevel::Info:
        LOG(INFO) << line;
        break;
    case LogLevel::Warning:
        LOG(WARNING) << line;
        break;
    case LogLevel::Error:
        LOG(ERROR) << line;
        break;
    }
}

} // namespace monsoongrade::observability
