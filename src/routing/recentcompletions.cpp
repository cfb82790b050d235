#include <monsoongrade/routing/recentcompletions.h>

namespace monsoongrade::routing {

namespace {

constexpr auto RotationInterval = std::chrono::seconds(30);
constexpr std::size_t MaxRequests = 4096;

} // namespace

RecentCompletions::RecentCompletions()
    : completed_(RotationInterval, MaxRequests)
{
}

void RecentCompletions::add(const RequestIdentity &request, units::TimePoint now)
{
    completed_.rotate(now);
    completed_.current().insert(request);
}

bool RecentCompletions::contains(const RequestIdentity &request, units::TimePoint now)
{
    completed_.rotate(now);
    return completed_.current().count(request) != 0 || completed_.previous().count(request) != 0;
}

} // namespace monsoongrade::routing
