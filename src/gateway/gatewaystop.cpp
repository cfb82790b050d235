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
// Time left when open requests are ended, so that the process exits before it is killed.
constexpr auto StopReserve = std::chrono::milliseconds(250);
// Part of it in which their responses are sent.
constexpr auto FinalResponsesTime = std::chrono::milliseconds(150);
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
        for (const auto &exchange : openExchanges())
            exchange->onHostClosing();
        waitForOpenRequests();
    });
}

void Gateway::waitForOpenRequests()
{
    if (!hasConnections()) {
        end();
    } else if (timers_.now() < stopBy_) {
        timers_.after(OpenRequestsCheckInterval, [this] { waitForOpenRequests(); });
    } else {
        for (const auto &exchange : openExchanges())
            exchange->onHostEnding();
        timers_.after(FinalResponsesTime, [this] { end(); });
    }
}

// Connections also stay open while their clients read the last response.
bool Gateway::hasConnections() const
{
    const auto servers = requestServers();
    return std::any_of(servers.begin(), servers.end(),
                       [](const httpio::Server *server) { return server->connections() > 0; });
}

void Gateway::end()
{
    observability::log(observability::LogLevel::Info, "gateway-stopped",
                       {{"open-requests", std::uint64_t(state_.openExchanges.size())}});
    if (state_.usage != nullptr)
        state_.usage->sendCounts();
    stopped_();
}

// A copy, as an exchange that ends leaves the original.
std::vector<std::shared_ptr<Exchange>> Gateway::openExchanges() const
{
    return {state_.openExchanges.begin(), state_.openExchanges.end()};
}

std::vector<httpio::Server *> Gateway::requestServers() const
{
    std::vector<httpio::Server *> servers{callers_.get()};
    if (forwarded_ != nullptr)
        servers.push_back(forwarded_.get());
    return servers;
}

} // namespace monsoongrade::gateway
