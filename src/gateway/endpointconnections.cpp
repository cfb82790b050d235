#include <monsoongrade/gateway/endpointconnections.h>

#include <monsoongrade/httpio/socketoptions.h>

#include <algorithm>

namespace monsoongrade::gateway {

namespace {

// Connecting takes about 3 ms; a lost SYN is retransmitted after 1 s. Trying another endpoint is
// faster than waiting for the retransmission.
constexpr auto ConnectTimeout = std::chrono::milliseconds(400);
// A request sent at the moment when the endpoint closes the idle connection would be lost. Half a
// second covers the network latency and a late timer.
constexpr auto CloseBeforeTimeout = std::chrono::milliseconds(500);
constexpr auto DefaultIdleTimeout = std::chrono::seconds(60);

} // namespace

EndpointConnections::EndpointConnections(asio::io_context &io, httpio::Timers &timers)
    : io_(io)
    , timers_(timers)
{
}

std::string EndpointConnections::keyOf(const routing::DiscoveredEndpoint &endpoint)
{
    return endpoint.id.value() + " " + std::to_string(endpoint.incarnation.value()) + " "
        + endpoint.address;
}

std::string EndpointConnections::keyOf(const routing::EndpointStatus &endpoint)
{
    return keyOf(endpoint.registration);
}

void EndpointConnections::acquire(const routing::EndpointStatus &endpoint, int maxOpen,
                                  bool checkIdle, AcquireHandler onAcquired)
{
    const std::string key = keyOf(endpoint);
    PerEndpoint &connections = endpoints_[key];
    if (auto channel = takeIdle(connections, checkIdle)) {
        onAcquired(ConnectOutcome::Connected, std::move(channel));
        return;
    }
    if (connections.open >= maxOpen) {
        onAcquired(ConnectOutcome::AtLimit, nullptr);
        return;
    }
    connect(endpoint.registration, std::move(onAcquired));
}

void EndpointConnections::openIdle(const routing::EndpointStatus &endpoint)
{
    connect(
        endpoint.registration,
        [this, endpoint](ConnectOutcome outcome, const std::shared_ptr<httpio::Channel> &channel) {
            if (outcome == ConnectOutcome::Connected)
                release(endpoint, channel, std::nullopt);
        });
}

std::shared_ptr<httpio::Channel> EndpointConnections::takeIdle(PerEndpoint &connections,
                                                               bool checkIdle)
{
    const units::TimePoint now = timers_.now();
    while (!connections.idle.empty()) {
        const Idle idle = std::move(connections.idle.back());
        connections.idle.pop_back();
        const bool isUsable = now < idle.usableUntil && idle.channel->isOpen()
            && (!checkIdle || idle.channel->isStillIdle());
        if (isUsable)
            return idle.channel;
        idle.channel->close();
        --connections.open;
    }
    return nullptr;
}

void EndpointConnections::connect(const routing::DiscoveredEndpoint &endpoint,
                                  AcquireHandler onAcquired)
{
    const std::string key = keyOf(endpoint);
    const auto address = httpio::parseAddress(endpoint.address);
    if (!address) {
        eraseIfUnused(key);
        onAcquired(ConnectOutcome::Failed, nullptr);
        return;
    }
    ++endpoints_[key].open;
    ++opened_;
    auto channel = std::make_shared<httpio::Channel>(io_, *address);
    auto timeout = std::make_shared<httpio::Timers::Handle>();
    auto finish = [this, key, endpoint, channel, timeout, begunAt = timers_.now(),
                   onAcquired = std::move(onAcquired)](bool isConnected) {
        timers_.cancel(*timeout);
        if (connectObserver_)
            connectObserver_(endpoint, isConnected, begunAt);
        if (isConnected) {
            onAcquired(ConnectOutcome::Connected, channel);
            return;
        }
        channel->close();
        --endpoints_[key].open;
        eraseIfUnused(key);
        onAcquired(ConnectOutcome::Failed, nullptr);
    };
    *timeout = timers_.after(ConnectTimeout, [finish] { finish(false); });
    channel->connect(finish);
}

void EndpointConnections::release(const routing::EndpointStatus &endpoint,
                                  const std::shared_ptr<httpio::Channel> &channel,
                                  std::optional<std::chrono::seconds> idleTimeout)
{
    const std::string key = keyOf(endpoint);
    PerEndpoint &connections = endpoints_[key];
    const bool isReusable = !endpoint.leaving
        && channel->release([this, key, raw = channel.get()] { onClosed(key, raw); });
    if (!isReusable) {
        channel->close();
        --connections.open;
        eraseIfUnused(key);
        return;
    }
    const units::Duration usable
        = idleTimeout.value_or(DefaultIdleTimeout) - units::Duration(CloseBeforeTimeout);
    connections.idle.push_back({channel, timers_.now() + usable});
}

void EndpointConnections::discard(const routing::EndpointStatus &endpoint,
                                  const std::shared_ptr<httpio::Channel> &channel)
{
    const std::string key = keyOf(endpoint);
    channel->close();
    --endpoints_[key].open;
    eraseIfUnused(key);
}

void EndpointConnections::closeIdle(const routing::EndpointStatus &endpoint)
{
    const std::string key = keyOf(endpoint);
    const auto found = endpoints_.find(key);
    if (found == endpoints_.end())
        return;
    for (const Idle &idle : found->second.idle) {
        idle.channel->close();
        --found->second.open;
    }
    found->second.idle.clear();
    eraseIfUnused(key);
}

std::size_t EndpointConnections::idle() const
{
    std::size_t count = 0;
    for (const auto &[key, connections] : endpoints_)
        count += connections.idle.size();
    return count;
}

int EndpointConnections::open(const routing::EndpointStatus &endpoint) const
{
    const auto found = endpoints_.find(keyOf(endpoint));
    return found == endpoints_.end() ? 0 : found->second.open;
}

void EndpointConnections::onClosed(const std::string &key, const httpio::Channel *channel)
{
    const auto found = endpoints_.find(key);
    if (found == endpoints_.end())
        return;
    std::vector<Idle> &idle = found->second.idle;
    const auto place = std::find_if(idle.begin(), idle.end(), [channel](const Idle &each) {
        return each.channel.get() == channel;
    });
    if (place == idle.end())
        return;
    idle.erase(place);
    --found->second.open;
    eraseIfUnused(key);
}

void EndpointConnections::eraseIfUnused(const std::string &key)
{
    const auto found = endpoints_.find(key);
    if (found != endpoints_.end() && found->second.open <= 0 && found->second.idle.empty())
        endpoints_.erase(found);
}

} // namespace monsoongrade::gateway
