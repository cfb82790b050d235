#ifndef MONSOONGRADE_GATEWAY_ENDPOINTCONNECTIONS_H
#define MONSOONGRADE_GATEWAY_ENDPOINTCONNECTIONS_H

#include <monsoongrade/httpio/channel.h>
#include <monsoongrade/httpio/timers.h>
#include <monsoongrade/routing/endpointstatus.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace monsoongrade::gateway {

enum class ConnectOutcome {
    Connected,
    Failed, // refused, unreachable or timed out
    AtLimit, // this host already has its share of the endpoint's connections open
};

// Pools connections to endpoints. They stay open between requests, because a new connection costs a
// round trip and processing time at the endpoint. Every channel passed to an AcquireHandler must be
// passed to release() or discard(); HeldConnection does so.
class EndpointConnections
{
public:
    using AcquireHandler = std::function<void(ConnectOutcome, std::shared_ptr<httpio::Channel>)>;
    // Receives the result of each attempt to open a connection, and when it began.
    using ConnectObserver = std::function<void(const routing::DiscoveredEndpoint &endpoint,
                                               bool isConnected, units::TimePoint begunAt)>;

    EndpointConnections(asio::io_context &io, httpio::Timers &timers);

    void setConnectObserver(ConnectObserver observer) { connectObserver_ = std::move(observer); }

    // Reuses an idle connection or opens a new one, with at most maxOpen open per endpoint. With
    // checkIdle, asks the operating system whether an idle connection is still open, since a
    // request that must not run twice can't be repeated if the endpoint has just closed it.
    void acquire(const routing::EndpointStatus &endpoint, int maxOpen, bool checkIdle,
                 AcquireHandler onAcquired);
    // Opens a connection that is kept idle, to find out whether the endpoint can be reached.
    void openIdle(const routing::EndpointStatus &endpoint);
    // Returns a channel whose response is complete. idleTimeout is the time after which the
    // endpoint closes an idle connection.
    void release(const routing::EndpointStatus &endpoint,
                 const std::shared_ptr<httpio::Channel> &channel,
                 std::optional<std::chrono::seconds> idleTimeout);
    void discard(const routing::EndpointStatus &endpoint,
                 const std::shared_ptr<httpio::Channel> &channel);
    // Closes the endpoint's idle connections; called when it accepts no more requests.
    void closeIdle(const routing::EndpointStatus &endpoint);

    std::size_t opened() const { return opened_; }
    std::size_t idle() const;
    // Connections to the endpoint that are idle, in use and connecting.
    int open(const routing::EndpointStatus &endpoint) const;
    // Expires when this object is destroyed.
    std::weak_ptr<const void> lifetime() const { return lifetime_; }

private:
    struct Idle
    {
        std::shared_ptr<httpio::Channel> channel;
        units::TimePoint usableUntil;
    };
    struct PerEndpoint
    {
        std::vector<Idle> idle; // most recently used last
        int open = 0; // idle, in use and connecting
    };

    static std::string keyOf(const routing::DiscoveredEndpoint &endpoint);
    static std::string keyOf(const routing::EndpointStatus &endpoint);
    std::shared_ptr<httpio::Channel> takeIdle(PerEndpoint &connections, bool checkIdle);
    void connect(const routing::DiscoveredEndpoint &endpoint, AcquireHandler onAcquired);
    void onClosed(const std::string &key, const httpio::Channel *channel);
    void eraseIfUnused(const std::string &key);

    asio::io_context &io_;
    httpio::Timers &timers_;
    ConnectObserver connectObserver_;
    std::map<std::string, PerEndpoint> endpoints_;
    std::size_t opened_ = 0;
    std::shared_ptr<const void> lifetime_ = std::make_shared<char>();
};

} // namespace monsoongrade::gateway

#endif // MONSOONGRADE_GATEWAY_ENDPOINTCONNECTIONS_H
