#include <monsoongrade/gateway/forwardedrequest.h>

#include <gateway/internal/responsebuffers.h>

#include <monsoongrade/httpio/messagehead.h>

namespace monsoongrade::gateway {

namespace {

// Hosts that can reach a pool are few while many can't; each accepts several hundred connections
// from other hosts.
constexpr int MaxConnectionsPerHost = 256;

} // namespace

ForwardedRequest::ForwardedRequest(EndpointConnections &connections, const std::string &hostAddress,
                                   std::chrono::seconds idleTimeout,
                                   std::shared_ptr<httpio::ResponseWriter> reply,
                                   std::shared_ptr<units::ByteBudget> responses, Handlers handlers)
    : connections_(connections)
    , idleTimeout_(idleTimeout)
    , reply_(std::move(reply))
    , handlers_(std::move(handlers))
    , responses_(std::move(responses))
    , heldBytes_(responses_)
{
    host_.registration.id = units::EndpointId(hostAddress);
    host_.registration.address = hostAddress;
}

void ForwardedRequest::start(std::string head, std::shared_ptr<const std::string> body)
{
    connections_.acquire(
        host_, MaxConnectionsPerHost, true,
        [self = shared_from_this(), head = std::move(head),
         body = std::move(body)](ConnectOutcome, const std::shared_ptr<httpio::Channel> &channel) {
            self->onConnection(channel, head, body);
        });
}

void ForwardedRequest::onConnection(std::shared_ptr<httpio::Channel> channel, std::string head,
                                    std::shared_ptr<const std::string> body)
{
    if (isFinished_) {
        if (channel != nullptr)
            connections_.release(host_, channel, idleTimeout_);
        return;
    }
    if (channel == nullptr) {
        end(ForwardingResult::NotSent);
        return;
    }
    channel_ = std::move(channel);
    wasSent_ = true;
    channel_->send(std::move(head), std::move(body), *this);
}

void ForwardedRequest::cancel()
{
    isFinished_ = true;
    handlers_ = {};
    if (channel_ != nullptr)
        connections_.discard(host_, channel_);
    channel_.reset();
}

void ForwardedRequest::onResponseHead(const httpio::MessageHead &head)
{
    if (!handlers_.isOwnResponse(head)) {
        onChannelFailure(httpio::ChannelFailure::BrokenInResponse);
        return;
    }
    head_ = head;
    if (httpio::findHeader(head.headers, "Content-Length") == nullptr)
        beginRelay();
}

void ForwardedRequest::onResponseBody(std::string_view bytes)
{
    if (!isRelayed_) {
        body_.append(bytes);
        heldBytes_.set(body_.size());
        if (body_.size() <= internal::maxCollectedBytes(*responses_))
            return;
        beginRelay();
        reply_->write(body_);
        body_.clear();
        heldBytes_.set(0);
    } else {
        reply_->write(bytes);
    }
    internal::throttleIfBacklogged(*reply_, channel_, *responses_);
}

void ForwardedRequest::beginRelay()
{
    isRelayed_ = true;
    reply_->begin(head_.status, httpio::endToEndHeaders(head_.headers));
    handlers_.onRelayBegun();
}

void ForwardedRequest::onResponseEnd()
{
    const auto self = shared_from_this();
    connections_.release(host_, channel_, idleTimeout_);
    channel_.reset();
    if (isRelayed_)
        reply_->end();
    end(isRelayed_ ? ForwardingResult::Relayed : ForwardingResult::Collected);
}

void ForwardedRequest::onChannelFailure(httpio::ChannelFailure failure)
{
    const auto self = shared_from_this();
    connections_.discard(host_, channel_);
    channel_.reset();
    wasSent_ = failure != httpio::ChannelFailure::NothingSent;
    end(wasSent_ ? ForwardingResult::Broken : ForwardingResult::NotSent);
}

void ForwardedRequest::end(ForwardingResult result)
{
    isFinished_ = true;
    const Handlers handlers = std::move(handlers_);
    handlers_ = {};
    handlers.onEnded(result);
}

} // namespace monsoongrade::gateway
