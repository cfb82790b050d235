#ifndef MONSOONGRADE_GATEWAY_HELDCONNECTION_H
#define MONSOONGRADE_GATEWAY_HELDCONNECTION_H

#include <monsoongrade/gateway/endpointconnections.h>
#include <monsoongrade/routing/endpointregistry.h>

#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>

namespace monsoongrade::gateway {

// The connection to an endpoint that a request uses, or none. Returns it to the pool when the use
// ends in whatever way: for reuse if nothing was sent or the response is complete, and closed
// otherwise. The pool may be destroyed before.
class HeldConnection
{
public:
    HeldConnection() = default;
    HeldConnection(EndpointConnections &connections, routing::EndpointRegistry::Status endpoint,
                   std::shared_ptr<httpio::Channel> channel);
    ~HeldConnection();
    HeldConnection(HeldConnection &&other) noexcept;
    HeldConnection &operator=(HeldConnection &&other) noexcept;
    HeldConnection(const HeldConnection &) = delete;
    HeldConnection &operator=(const HeldConnection &) = delete;

    // Sends a request, as Channel::send() does.
    void send(std::string head, std::shared_ptr<const std::string> body,
              httpio::ChannelListener &listener);
    // The response is complete. idleTimeout: after which the endpoint closes an idle connection.
    void release(std::optional<std::chrono::seconds> idleTimeout);
    // Returns the connection, and closes it if anything was sent on it.
    void reset();
    // Closes the connection.
    void discard();

    // Null if no connection is held.
    const std::shared_ptr<httpio::Channel> &channel() const { return channel_; }
    friend bool operator==(const HeldConnection &held, std::nullptr_t)
    {
        return held.channel_ == nullptr;
    }
    friend bool operator!=(const HeldConnection &held, std::nullptr_t)
    {
        return held.channel_ != nullptr;
    }

private:
    // The channel, which is no longer held; null if there is none or the pool is gone.
    std::shared_ptr<httpio::Channel> take();

    EndpointConnections *connections_ = nullptr;
    std::weak_ptr<const void> lifetime_; // of the pool
    routing::EndpointRegistry::Status endpoint_;
    std::shared_ptr<httpio::Channel> channel_;
    bool wasSent_ = false;
};

} // namespace monsoongrade::gateway

#endif // MONSOONGRADE_GATEWAY_HELDCONNECTION_H
