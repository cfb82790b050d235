#include <monsoongrade/gateway/heldconnection.h>

#include <utility>

namespace monsoongrade::gateway {

HeldConnection::HeldConnection(EndpointConnections &connections,
                               routing::EndpointRegistry::Status endpoint,
                               std::shared_ptr<httpio::Channel> channel)
    : connections_(&connections)
    , lifetime_(connections.lifetime())
    , endpoint_(std::move(endpoint))
    , channel_(std::move(channel))
{
}

HeldConnection::~HeldConnection()
{
    reset();
}

HeldConnection::HeldConnection(HeldConnection &&other) noexcept
    : connections_(other.connections_)
    , lifetime_(std::move(other.lifetime_))
    , endpoint_(std::move(other.endpoint_))
    , channel_(std::move(other.channel_))
    , wasSent_(other.wasSent_)
{
}

HeldConnection &HeldConnection::operator=(HeldConnection &&other) noexcept
{
    if (this == &other)
        return *this;
    reset();
    connections_ = other.connections_;
    lifetime_ = std::move(other.lifetime_);
    endpoint_ = std::move(other.endpoint_);
    channel_ = std::move(other.channel_);
    wasSent_ = other.wasSent_;
    return *this;
}

void HeldConnection::send(std::string head, std::shared_ptr<const std::string> body,
                          httpio::ChannelListener &listener)
{
    wasSent_ = true;
    channel_->send(std::move(head), std::move(body), listener);
}

void HeldConnection::release(std::optional<std::chrono::seconds> idleTimeout)
{
    if (const auto channel = take())
        connections_->release(*endpoint_, channel, idleTimeout);
}

void HeldConnection::reset()
{
    if (wasSent_)
        discard();
    else
        release(std::nullopt);
}

void HeldConnection::discard()
{
    if (const auto channel = take())
        connections_->discard(*endpoint_, channel);
}

std::shared_ptr<httpio::Channel> HeldConnection::take()
{
    auto channel = std::exchange(channel_, nullptr);
    if (channel != nullptr && lifetime_.expired()) {
        channel->close();
        return nullptr;
    }
    return channel;
}

} // namespace monsoongrade::gateway
