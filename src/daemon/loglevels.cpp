#include <monsoongrade/daemon/loglevels.h>

namespace monsoongrade::daemon {

observability::LogLevel logLevelFor(const std::string &word)
{
    if (word == "debug")
        return observability::LogLevel::Debug;
    if (word == "warning")
        return observability::LogLevel::Warning;
    if (word == "error")
        return observability::LogLevel::Error;
    return observability::LogLevel::Info;
}

} // namespace monsoongrade::daemon
