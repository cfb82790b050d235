#ifndef MONSOONGRADE_GATEWAY_REPLACEMENTATTEMPT_H
#define MONSOONGRADE_GATEWAY_REPLACEMENTATTEMPT_H

#include <monsoongrade/gateway/gatewaystate.h>
#include <monsoongrade/gateway/heldconnection.h>
#include <monsoongrade/httpio/channel.h>
#include <monsoongrade/units/resultcode.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace monsoongrade::gateway {

// A request at the endpoint for which it was placed.
struct EndpointAttempt
{
    routing::EndpointRegistry::Status endpoint;
    routing::PlacementTicket ticket;
    std::int64_t tokensToRead = 0;
    units::Duration expectedFirstEvent{}; // 0: unknown
    units::EndpointId cacheSource; // endpoint to copy cached prompt parts from; empty: none
    HeldConnection channel{}; // none while not connected
    bool wasSent = false;
    units::TimePoint sentAt{};
    units::SoftwareVersion sentToVersion{};
    bool wasBrittleWhenSent = false; // as far as this host knew
    // The response that comes now is one to an earlier request on the connection.
    bool isSkipping = false;
};

// How a replacement ended before its endpoint had taken the request.
struct FailedReplacement
{
    units::ResultCode reason = units::ResultCode::NoEndpointAvailable;
    routing::EndpointRegistry::Status endpoint; // null if none was found
    routing::PlacementTicket ticket; // still open if the endpoint is at fault
    bool isEndpointsFault = false;
    bool mayHaveRun = false;
    bool mayHaveCrashed = false; // the connection broke after the request was sent
    bool countsAsSend = false; // the endpoint got the request
};

// Receives the events of a ReplacementAttempt.
class ReplacementListener
{
public:
    virtual ~ReplacementListener() = default;
    virtual void onReplacementPlaced(units::Duration placementTime) = 0;
    // The endpoint is connected: the request may be sent.
    virtual void onReplacementConnected() = 0;
    // The endpoint has taken the request, and its response begins with this head. The listener
    // takes the attempt before it returns, and receives the rest of the response itself.
    virtual void onReplacementAccepted(const httpio::MessageHead &head) = 0;
    virtual void onReplacementFailed(const FailedReplacement &failed) = 0;
};

// Offers a request to another endpoint while the one that has it is silent, which keeps it until
// the other one has taken it. Must be ended by take() or withdraw(), or by a failure that it
// reports; nothing is reported afterwards. The listener must outlive it.
class ReplacementAttempt : public std::enable_shared_from_this<ReplacementAttempt>,
                           private httpio::ChannelListener
{
public:
    // isStream: only an event stream can continue the request.
    ReplacementAttempt(GatewayState &state, units::RequestId request, bool isStream,
                       ReplacementListener &listener);
    // Looks for an endpoint and connects to it, with at most maxConnections open to it. Events may
    // be reported before this returns.
    void start(const routing::PlacementQuery &query, int maxConnections);
    // Sends the request, once it is connected.
    void send(std::string head, std::shared_ptr<const std::string> body);
    // Gives back the place and the connection. An endpoint that has got the request notices that
    // its connection is closed.
    void withdraw();
    // Hands over the place and the connection, whose listener has to be changed.
    EndpointAttempt take();

    const EndpointAttempt &attempt() const { return attempt_; }
    // The endpoint has been sent the request and has not rejected it.
    bool hasRequest() const { return attempt_.wasSent && !rejection_; }

private:
    void onPlaced(const routing::PlacementTicket &ticket, routing::PlacementChoice choice,
                  int maxConnections);
    void onConnection(ConnectOutcome outcome, std::shared_ptr<httpio::Channel> channel);
    void onResponseHead(const httpio::MessageHead &head) override;
    void onResponseBody(std::string_view bytes) override;
    void onResponseEnd() override;
    void onChannelFailure(httpio::ChannelFailure failure) override;
    void onRejected(const EndpointResponseInfo &answer);
    void onUnusableResponse();
    void fail(units::ResultCode reason, bool isEndpointsFault);

    GatewayState &state_;
    units::RequestId request_;
    bool isStream_;
    ReplacementListener &listener_;
    std::uint64_t placementNumber_ = 0;
    units::TimePoint placementStartedAt_;
    bool isPlacing_ = false;
    bool isEnded_ = false;
    EndpointAttempt attempt_;
    std::optional<EndpointResponseInfo> rejection_; // its body follows
    std::size_t skippedBytes_ = 0;
};

} // namespace monsoongrade::gateway

#endif // MONSOONGRADE_GATEWAY_REPLACEMENTATTEMPT_H
