#ifndef MONSOONGRADE_DAEMON_LOGLEVELS_H
#define MONSOONGRADE_DAEMON_LOGLEVELS_H

#include <monsoongrade/observability/log.h>

#include <string>

namespace monsoongrade::daemon {

// The level of the settings' word; Info for any unknown one.
observability::LogLevel logLevelFor(const std::string &word);

} // namespace monsoongrade::daemon

#endif // MONSOONGRADE_DAEMON_LOGLEVELS_H
