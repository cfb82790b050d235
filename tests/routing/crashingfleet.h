#ifndef MONSOONGRADE_TESTS_ROUTING_CRASHINGFLEET_H
#define MONSOONGRADE_TESTS_ROUTING_CRASHINGFLEET_H

#include <monsoongrade/routing/crashtracker.h>

#include <chrono>
#include <cstddef>
#include <random>
#include <string>
#include <vector>

namespace monsoongrade::routing {

// Endpoints that crash and restart in virtual time, and the crash trackers of hosts that gossip.
// Simulations add the requests.
class CrashingFleet
{
public:
    static constexpr std::size_t Hosts = 8;
    static constexpr std::size_t Endpoints = 12;

protected:
    static constexpr auto Step = std::chrono::milliseconds(10);
    static constexpr auto GossipInterval = std::chrono::milliseconds(250);
    static constexpr std::size_t DatagramItems = 20;

    CrashingFleet(unsigned seed, units::Duration timeToRestart)
        : random_(seed)
        , trackers_(Hosts)
        , timeToRestart_(timeToRestart)
        , availableFrom_(Endpoints)
        , incarnations_(Endpoints, 1)
    {
    }

    bool isEvery(std::chrono::milliseconds interval) const
    {
        return now_.time_since_epoch() % interval == units::Duration::zero();
    }
    bool isAvailable(std::size_t endpoint) const { return availableFrom_[endpoint] <= now_; }
    // Does not return while all endpoints restart.
    std::size_t randomAvailableEndpoint()
    {
        std::size_t endpoint = 0;
        do
            endpoint = random_() % Endpoints;
        while (!isAvailable(endpoint));
        return endpoint;
    }
    EndpointInstance instanceOf(std::size_t endpoint) const
    {
        return {units::EndpointId(std::to_string(endpoint)), Incarnation(incarnations_[endpoint])};
    }
    // The endpoint is back after the time to restart, as a new process.
    void restart(std::size_t endpoint)
    {
        availableFrom_[endpoint] = now_ + timeToRestart_;
        ++incarnations_[endpoint];
    }
    void gossip()
    {
        for (CrashTracker &from : trackers_) {
            for (const CrashUpdate &update : from.takeUpdates(DatagramItems, now_)) {
                for (CrashTracker &to : trackers_) {
                    if (&to != &from)
                        to.receive(update, now_);
                }
            }
        }
    }

    std::mt19937 random_;
    units::TimePoint now_{std::chrono::hours(1)};
    std::vector<CrashTracker> trackers_; // by host

private:
    units::Duration timeToRestart_;
    std::vector<units::TimePoint> availableFrom_;
    std::vector<std::int64_t> incarnations_;
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_TESTS_ROUTING_CRASHINGFLEET_H
