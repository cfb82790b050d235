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
    Failed, // refused, unreachable or too slow
    AtLimit, // this host has its share of the endpoint's connections open already
};

// Connections to endpoints, kept open between requests because a new one costs a round trip and
// the endpoint's time. Every channel that acquire() hands out is given to giveBack() or discard().
class EndpointConnections
{
public:
    using Acquired = std::function<void(ConnectOutcome, std::shared_ptr<httpio::Channel>)>;

    EndpointConnections(asio::io_context &io, httpio::Timers &timers);

    // Finds an idle connection or opens one, at most maxOpen at a time. With checkIdle, an idle
    // one is first checked with the system: a request that must not run twice can't be repeated
    // when it is sent on a connection that the endpoint has just closed.
    void acquire(const routing::EndpointStatus &endpoint, int maxOpen, bool checkIdle,
                 Acquired acquired);
    // The response on the channel is whole. idleTimeout: after which the endpoint closes it.
    void giveBack(const routing::EndpointStatus &endpoint,
                  const std::shared_ptr<httpio::Channel> &channel,
                  std::optional<std::chrono::seconds> idleTimeout);
    void discard(const routing::EndpointStatus &endpoint,
                 const std::shared_ptr<httpio::Channel> &channel);
    // The endpoint takes no more requests.
    void closeIdle(const routing::EndpointStatus &endpoint);

    std::size_t opened() const { return opened_; }
    std::size_t idle() const;

private:
    struct Idle
    {
        std::shared_ptr<httpio::Channel> channel;
        units::TimePoint usableUntil;
    };
    struct PerEndpoint
    {
        std::vector<Idle> idle; // the most recently used last
        int open = 0; // idle, in use and connecting
    };

    static std::string keyOf(const routing::EndpointStatus &endpoint);
    std::shared_ptr<httpio::Channel> takeIdle(PerEndpoint &connections, bool checkIdle);
    void connect(const std::string &key, const asio::ip::tcp::endpoint &address, Acquired acquired);
    void onUnusable(const std::string &key, const httpio::Channel *channel);
    void forgetIfEmpty(const std::string &key);

    asio::io_context &io_;
    httpio::Timers &timers_;
    std::map<std::string, PerEndpoint> endpoints_;
    std::size_t opened_ = 0;
};

} // namespace monsoongrade::gateway

#endif // MONSOONGRADE_GATEWAY_ENDPOINTCONNECTIONS_H
