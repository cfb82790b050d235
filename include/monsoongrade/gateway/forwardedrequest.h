#ifndef MONSOONGRADE_GATEWAY_FORWARDEDREQUEST_H
#define MONSOONGRADE_GATEWAY_FORWARDEDREQUEST_H

#include <monsoongrade/gateway/endpointconnections.h>
#include <monsoongrade/httpio/responsewriter.h>
#include <monsoongrade/units/bytebudget.h>

#include <functional>
#include <memory>
#include <string>

namespace monsoongrade::gateway {

enum class ForwardingResult {
    Collected, // the response is complete and the client has got nothing of it
    Relayed, // the response is complete and was passed on as it arrived
    NotSent, // the other host got nothing of the request
    Broken, // no complete response: the request may have run
};

// A request that another host handles for this one. A response with a length is collected, so that
// a host that can't serve the request can be replaced by another one; others are relayed.
class ForwardedRequest : public std::enable_shared_from_this<ForwardedRequest>,
                         private httpio::ChannelListener
{
public:
    struct Handlers
    {
        // Whether the head is that of a response to this request.
        std::function<bool(const httpio::MessageHead &)> isOwnResponse;
        std::function<void()> onRelayBegun; // the client gets the response from now on
        // Called once; the request is then finished. Not called after cancel().
        std::function<void(ForwardingResult)> onEnded;
    };

    // idleTimeout: after which the other host closes an idle connection. responses: counts the
    // bytes of all responses that this host holds.
    ForwardedRequest(EndpointConnections &connections, const std::string &hostAddress,
                     std::chrono::seconds idleTimeout,
                     std::shared_ptr<httpio::ResponseWriter> reply,
                     std::shared_ptr<units::ByteBudget> responses, Handlers handlers);

    void start(std::string head, std::shared_ptr<const std::string> body);
    // Closes the connection, so that the other host notices that the client has left.
    void cancel();

    bool wasSent() const { return wasSent_; }
    int status() const { return head_.status; }
    const httpio::Headers &headers() const { return head_.headers; }
    // The collected body.
    const std::string &body() const { return body_; }

private:
    void onResponseHead(const httpio::MessageHead &head) override;
    void onResponseBody(std::string_view bytes) override;
    void onResponseEnd() override;
    void onChannelFailure(httpio::ChannelFailure failure) override;
    void onConnection(std::shared_ptr<httpio::Channel> channel, std::string head,
                      std::shared_ptr<const std::string> body);
    void beginRelay();
    void end(ForwardingResult result);

    EndpointConnections &connections_;
    routing::EndpointStatus host_;
    std::chrono::seconds idleTimeout_;
    std::shared_ptr<httpio::ResponseWriter> reply_;
    Handlers handlers_;
    std::shared_ptr<httpio::Channel> channel_;
    httpio::MessageHead head_;
    std::string body_;
    std::shared_ptr<units::ByteBudget> responses_;
    units::HeldBytes heldBytes_; // in body_
    bool wasSent_ = false;
    bool isRelayed_ = false;
    bool isFinished_ = false;
};

} // namespace monsoongrade::gateway

#endif // MONSOONGRADE_GATEWAY_FORWARDEDREQUEST_H
