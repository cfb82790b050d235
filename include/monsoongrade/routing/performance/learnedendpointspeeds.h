#ifndef MONSOONGRADE_ROUTING_PERFORMANCE_LEARNEDENDPOINTSPEEDS_H
#define MONSOONGRADE_ROUTING_PERFORMANCE_LEARNEDENDPOINTSPEEDS_H

#include <monsoongrade/routing/performance/endpointspeed.h>
#include <monsoongrade/routing/performance/endpointspeedmodel.h>
#include <monsoongrade/routing/performance/learnedspeed.h>

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace monsoongrade::routing::performance {

// Learns the speeds of endpoints from the prefills that this host has placed, or receives them from
// the host that placed them before. A restarted endpoint starts from 1, because it may run on
// another machine.
class LearnedEndpointSpeeds : public EndpointSpeedModel
{
public:
    double relativeSpeed(const units::PoolName &pool, const DiscoveredEndpoint &endpoint,
                         units::TimePoint now) const override;
    // True while the endpoint is temporarily much slower than it steadily is.
    bool isSlowNow(const DiscoveredEndpoint &endpoint, units::TimePoint now) const;
    // The endpoint prefilled the tokens in the given time without a break. expected: the time that
    // the mean endpoint of the pool would have taken.
    void onPrefillDone(const units::PoolName &pool, const DiscoveredEndpoint &endpoint,
                       std::int64_t tokens, units::Duration took, units::Duration expected,
                       units::TimePoint now);

    // Speed of the endpoint relative to the mean of those that this host has samples of. Speeds are
    // learned relative to an estimated rate of the pool, which may be wrong by a common factor.
    double speedRelativeToSampled(const units::PoolName &pool, const DiscoveredEndpoint &endpoint,
                                  units::TimePoint now) const;

    // Takes the steady speeds that are due to be sent to the successors: at most max every 2 s,
    // least recently sent first. Speeds of 1 are sent only if they differed before.
    std::vector<LearnedSpeed> takeDue(std::size_t max, units::TimePoint now);
    // Adds a speed that another host has learned. Ignored if this host has samples of its own.
    void addReceived(const LearnedSpeed &speed, units::TimePoint now);
    // Takes the effective speeds that have changed by a quarter since they were last taken here,
    // at most max.
    std::vector<LearnedSpeed> takeChanged(std::size_t max, units::TimePoint now);
    // The lowest and the highest effective speed. Empty if this host has no samples of its own.
    std::optional<std::pair<double, double>> range(units::TimePoint now) const;

private:
    struct Entry
    {
        EndpointSpeed speed;
        units::PoolName pool; // empty if only received
        bool isOwn = false; // has samples of this host
        bool hasNewSamples = false; // since it was last sent
        bool wasSentDifferent = false; // the last value sent was not 1
        units::TimePoint sentAt{};
        double reportedSpeed = 1; // by takeChanged()
    };
    struct InstanceHash
    {
        std::size_t operator()(const EndpointInstance &instance) const
        {
            return std::hash<std::string>()(instance.id.value());
        }
    };
    using Entries = std::unordered_map<EndpointInstance, Entry, InstanceHash>;

    static bool isExpired(const Entry &entry, units::TimePoint now);
    const Entry *find(const DiscoveredEndpoint &endpoint, units::TimePoint now) const;
    void removeExpired(units::TimePoint now);

    Entries entries_;
    units::TimePoint nextSendAt_{};
};

} // namespace monsoongrade::routing::performance

#endif // MONSOONGRADE_ROUTING_PERFORMANCE_LEARNEDENDPOINTSPEEDS_H
