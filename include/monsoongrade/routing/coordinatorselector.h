#ifndef MONSOONGRADE_ROUTING_COORDINATORSELECTOR_H
#define MONSOONGRADE_ROUTING_COORDINATORSELECTOR_H

#include <monsoongrade/units/clock.h>

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace monsoongrade::routing {

// Which of the hosts that may place requests for all is asked now, by their answers. A host that
// is frozen or cut off costs each ask a timeout, so it is left out for a second after it has
// answered nothing for 45 ms. A single overdue answer is not enough: a datagram may be lost, and a
// host with a small share of a core is itself stopped for 25 ms at times and then finds several
// answers overdue at once.
class CoordinatorSelector
{
public:
    // The host answered something.
    void onAnswer(const std::string &host);
    // An answer of the host is overdue; asked: when it was asked. True if the host is left out from
    // now on.
    bool onAnswerOverdue(const std::string &host, units::TimePoint asked, units::TimePoint now);
    // The host to ask: the first of the order that is not left out. Empty if that is this host or
    // there is none.
    std::string selectHost(const std::vector<std::string> &order, const std::string &own,
                           units::TimePoint now) const;

private:
    struct Trust
    {
        std::optional<units::TimePoint> silentSince; // the first ask without an answer
        units::TimePoint avoidUntil{};
    };

    std::unordered_map<std::string, Trust> hosts_;
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_COORDINATORSELECTOR_H
