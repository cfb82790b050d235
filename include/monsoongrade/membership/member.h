#ifndef MONSOONGRADE_MEMBERSHIP_MEMBER_H
#define MONSOONGRADE_MEMBERSHIP_MEMBER_H

#include <monsoongrade/units/ids.h>

#include <string>
#include <vector>

namespace monsoongrade::membership {

// One entry host as this daemon sees it.
struct Member
{
    units::HostName host;
    std::string address;
    units::FailureDomain failureDomain;
    bool leaving = false;
    bool suspected = false;
};

} // namespace monsoongrade::membership

#endif // MONSOONGRADE_MEMBERSHIP_MEMBER_H
