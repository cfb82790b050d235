#include <monsoongrade/daemon/daemonid.h>

#include <chrono>
#include <cstdio>

namespace monsoongrade::daemon {

units::DaemonId newDaemonId(const units::HostName &host, const char *role)
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(now).count();
    char incarnation[24];
    std::snprintf(incarnation, sizeof(incarnation), "%llx",
                  static_cast<unsigned long long>(micros));
    return units::DaemonId(host.value() + "." + role + "." + incarnation);
}

} // namespace monsoongrade::daemon
