#ifndef MONSOONGRADE_ROUTING_COORDINATORSELECTOR_H
#define MONSOONGRADE_ROUTING_COORDINATORSELECTOR_H

#include <monsoongrade/units/clock.h>

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace monsoongrade::routing {

// Selects the placement coordinator to query. A frozen or unreachable host costs each query a
// timeout, so it is skipped for a second once it has not answered for 45 ms. A single overdue
// answer is not enough: a datagram may be lost, and a host with a small CPU share is itself
// throttled for 25 ms at times and then finds several answers overdue at once.
class CoordinatorSelector
{
public:
    void onAnswer(const std::string &host);
    // An answer to the query sent at queriedAt is overdue. True if the host is skipped from now on.
    bool onAnswerOverdue(const std::string &host, units::TimePoint queriedAt, units::TimePoint now);
    // The first host of the order that is not skipped. Empty if that is this host or there is none.
    std::string selectHost(const std::vector<std::string> &order, const std::string &own,
                           units::TimePoint now) const;

private:
    struct HostState
    {
        std::optional<units::TimePoint> unansweredSince; // time of the first unanswered query
        units::TimePoint skipUntil{};
    };

    std::unordered_map<std::string, HostState> hosts_;
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_COORDINATORSELECTOR_H
