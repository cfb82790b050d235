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
    // Of the host's router.
    bool leaving = false;
    bool suspected = false;
    // Of its scheduler. A suspected scheduler keeps its cells until it is held dead: moving them
    // on every lost probe would cost more than waiting for the answer.
    bool schedulerLeaving = false;
    bool schedulerSuspected = false;
    bool schedulerDead = false;
};

} // namespace monsoongrade::membership

#endif // MONSOONGRADE_MEMBERSHIP_MEMBER_H
