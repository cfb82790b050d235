#ifndef MONSOONGRADE_PLATFORM_HOSTLIST_H
#define MONSOONGRADE_PLATFORM_HOSTLIST_H

#include <monsoongrade/units/ids.h>
#include <monsoongrade/units/result.h>

#include <string>
#include <vector>

namespace monsoongrade::platform {

enum class HostState { Live, Leaving };
enum class HostRole { Entry, Endpoint };

struct Host
{
    units::HostName name;
    std::string address;
    units::FailureDomain failureDomain;
    HostRole role = HostRole::Entry;
    HostState state = HostState::Live;
};

// The platform's list of live and leaving hosts. It lags: a host may be long gone, or live and
// not yet in it.
class HostList
{
public:
    virtual ~HostList() = default;
    // Errors: PlatformUnavailable, PlatformAnswerMalformed.
    virtual units::Result<std::vector<Host>> hosts() = 0;
};

} // namespace monsoongrade::platform

#endif // MONSOONGRADE_PLATFORM_HOSTLIST_H
