#ifndef MONSOONGRADE_ROUTING_RECENTCOMPLETIONS_H
#define MONSOONGRADE_ROUTING_RECENTCOMPLETIONS_H

#include <monsoongrade/routing/requestidentity.h>
#include <monsoongrade/units/clock.h>

#include <set>

namespace monsoongrade::routing {

// Tracks the requests that were answered completely in the last 30 to 60 s, in bounded memory:
// when there are very many, the oldest are dropped sooner.
class RecentCompletions
{
public:
    void add(const RequestIdentity &request, units::TimePoint now);
    bool contains(const RequestIdentity &request, units::TimePoint now);

private:
    void rotate(units::TimePoint now);

    std::set<RequestIdentity> current_;
    std::set<RequestIdentity> previous_;
    units::TimePoint rotatedAt_{};
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_RECENTCOMPLETIONS_H
