#include <monsoongrade/gateway/exchange.h>
#include <monsoongrade/gateway/gateway.h>

#include <algorithm>

namespace monsoongrade::gateway {

namespace {

// Clients use an address for up to three times the directory's interval of 1 s, and slightly longer
// if they are just refreshing it. A leaving host accepts requests for this time.
constexpr auto AcceptWhileLeaving = std::chrono::milliseconds(3800);
// Quarters of that time in which all requests are accepted, including those that may outlast the
// host: 2.8 of 3.8 s. In the rest of it, such requests are refused and go to other hosts.
constexpr int AcceptAllQuarters = 3;
// Time left when open requests are aborted, so that the process exits before it is killed.
constexpr auto StopReserve = std::chrono::milliseconds(250);
constexpr auto OpenRequestsCheckInterval = std::chrono::milliseconds(25);

} // namespace

void Gateway::stop(std::function<void()> stopped)
{
    if (leaving_)
        return;
    leaving_ = true;
    stopped_ = std::move(stopped);
    stopBy_ = timers_.now() + settings_.stopWithin - units::Duration(StopReserve);
    observability::log(observability::LogLevel::Info, "gateway-leaving",
                       {{"open-requests", std::uint64_t(callers_->openRequests())}});
    gossip_.setState(routing::PeerState::Leaving);
    for (httpio::Server *server : requestServers())
        server->startDraining();
    const units::Duration accepting
        = std::min<units::Duration>(AcceptWhileLeaving, settings_.stopWithin / 2);
    state_.plannedStop = PlannedStop{timers_.now() + accepting * AcceptAllQuarters / 4, stopBy_};
    timers_.after(accepting, [this] {
        for (httpio::Server *server : requestServers())
            server->stopAccepting();
        waitForOpenRequests();
    });
}

void Gateway::waitForOpenRequests()
{
    // Also waits for connections whose clients are still reading the last response.
    std::size_t open = 0;
    std::size_t connections = 0;
    for (const httpio::Server *server : requestServers()) {
        open += server->openRequests();
        connections += server->connections();
    }
    if (connections > 0 && timers_.now() < stopBy_) {
        timers_.after(OpenRequestsCheckInterval, [this] { waitForOpenRequests(); });
        return;
    }
    for (const auto &exchange : state_.openExchanges)
        exchange->logCutOff();
    observability::log(observability::LogLevel::Info, "gateway-stopped",
                       {{"open-requests", std::uint64_t(open)}});
    if (state_.usage != nullptr)
        state_.usage->sendCounts();
    stopped_();
}

std::vector<httpio::Server *> Gateway::requestServers() const
{
    std::vector<httpio::Server *> servers{callers_.get()};
    if (forwarded_ != nullptr)
        servers.push_back(forwarded_.get());
    return servers;
}

} // namespace monsoongrade::gateway
