#include "simulatedpool.h"

#include <monsoongrade/routing/queueing/retryafter.h>

namespace monsoongrade::routing {

// Returns whether the caller of a refused request retries.
bool SimulatedPool::retryLater(const Request &request, const PlacementChoice &choice)
{
    if (request.retries >= options_.maxRetries || !choice.retryDelay)
        return false;
    constexpr auto Connect = std::chrono::milliseconds(5);
    const units::Duration timeLeft = request.arrivedAt + request.kind->maxWait - now_;
    const units::RequestId id(std::to_string(last_ + returning_.size()));
    const units::Duration delay = choice.isReturnScheduled
        ? *choice.retryDelay
        : queueing::retryAfter(*choice.retryDelay, id, timeLeft);
    if (delay > timeLeft / 3)
        return false;
    SimulatedOutcome &outcome = outcomes_[request.kind->name];
    ++outcome.retries;
    outcome.retried += request.retries == 0 ? 1 : 0;
    Request again = request;
    ++again.retries;
    returning_.emplace(now_ + delay + Connect, std::move(again));
    return true;
}

void SimulatedPool::placeRetries()
{
    while (!returning_.empty() && returning_.begin()->first <= now_) {
        const std::uint64_t number = ++last_;
        Request &request = open_[number] = std::move(returning_.begin()->second);
        request.attemptAt = now_;
        returning_.erase(returning_.begin());
        recordArrival(request);
        place(number);
    }
}

// The new coordinator knows the cached parts only; hosts repeat the queries of their queued
// requests.
void SimulatedPool::replaceCoordinator()
{
    addReturnCounts();
    placer_ = RequestPlacer();
    for (const auto &[id, engine] : engines_) {
        for (const std::string &part : engine.cached)
            placer_.addCachedPart({part, engine.status->registration.id, {}}, now_);
    }
    for (const std::uint64_t number : std::set<std::uint64_t>(queued_))
        place(number);
}

void SimulatedPool::addReturnCounts()
{
    const queueing::ReturnSchedule::Counts counts = placer_.takeReturnCounts();
    returnCounts_.booked += counts.booked;
    returnCounts_.served += counts.served;
    returnCounts_.refused += counts.refused;
    returnCounts_.missed += counts.missed;
}

} // namespace monsoongrade::routing
