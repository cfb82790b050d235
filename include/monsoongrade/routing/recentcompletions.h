#ifndef MONSOONGRADE_ROUTING_RECENTCOMPLETIONS_H
#define MONSOONGRADE_ROUTING_RECENTCOMPLETIONS_H

#include <monsoongrade/routing/generations.h>
#include <monsoongrade/routing/requestidentity.h>
#include <monsoongrade/units/clock.h>

#include <set>

namespace monsoongrade::routing {

// Tracks the requests that were answered completely in the last 30 to 60 s, in bounded memory:
// when there are very many, the oldest are dropped sooner.
class RecentCompletions
{
public:
    RecentCompletions();

    void add(const RequestIdentity &request, units::TimePoint now);
    bool contains(const RequestIdentity &request, units::TimePoint now);

private:
    Generations<std::set<RequestIdentity>> completed_;
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_RECENTCOMPLETIONS_H
