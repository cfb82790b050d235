#include <monsoongrade/gateway/placementservice.h>

#include <gateway/internal/placementmessages.h>

#include <monsoongrade/observability/log.h>

namespace monsoongrade::gateway {

namespace {

// Entries have about 50 bytes, so that the datagram stays below 1,400 bytes.
constexpr std::size_t MaxSpeedsInDatagram = 20;
// Lines per call. Calls come several times a second, and a line takes about 15 us; the remaining
// changes are written by later calls.
constexpr std::size_t MaxLogLines = 5;

} // namespace

using namespace internal;

bool PlacementService::isCoordinator() const
{
    const auto isFirst = [this](const std::vector<std::string> &ranking) {
        return !ranking.empty() && ranking.front() == settings_.ownIp;
    };
    return isFirst(fleetRanking_) || isFirst(cellRanking_);
}

void PlacementService::sendSpeeds(const std::vector<std::string> &hosts)
{
    if (!isCoordinator())
        return;
    std::vector<routing::performance::LearnedSpeed> speeds
        = placer_.speeds().takeDue(MaxSpeedsInDatagram, timers_.now());
    if (speeds.empty())
        return;
    const std::string datagram = encode(EndpointSpeedsMessage{std::move(speeds)});
    for (const std::string &host : hosts)
        socket_.send(host, datagram);
}

void PlacementService::onMessage(const std::string &, const EndpointSpeedsMessage &message)
{
    for (const routing::performance::LearnedSpeed &speed : message.speeds)
        placer_.speeds().addReceived(speed, timers_.now());
}

void PlacementService::logSpeeds()
{
    for (const auto &speed : placer_.speeds().takeChanged(MaxLogLines, timers_.now()))
        observability::log(observability::LogLevel::Info, "endpoint-speed",
                           {{"endpoint", speed.endpoint.id.value()},
                            {"speed", speed.relativeSpeed},
                            {"samples", speed.samples},
                            {"slow-now", speed.isSlowNow ? "yes" : "no"}});
}

std::optional<std::pair<double, double>> PlacementService::speedRange() const
{
    return isCoordinator() ? placer_.speeds().range(timers_.now()) : std::nullopt;
}

} // namespace monsoongrade::gateway
