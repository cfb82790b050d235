#ifndef MONSOONGRADE_GATEWAY_EXCHANGE_H
#define MONSOONGRADE_GATEWAY_EXCHANGE_H

#include <monsoongrade/gateway/eventrelay.h>
#include <monsoongrade/gateway/gatewaystate.h>
#include <monsoongrade/httpio/server.h>
#include <monsoongrade/routing/admission.h>
#include <monsoongrade/routing/failuredecision.h>
#include <monsoongrade/routing/requestidentity.h>

#include <memory>
#include <optional>

namespace monsoongrade::gateway {

// One client request from its receipt to its final answer: finds an endpoint, sends the request,
// relays the response, and decides with the routing part what follows a failure. Keeps itself
// alive until it is finished.
class Exchange : public std::enable_shared_from_this<Exchange>, private httpio::ChannelListener
{
public:
    static void start(GatewayState &state, httpio::ServerRequest request,
                      std::shared_ptr<httpio::ResponseWriter> reply);

    Exchange(GatewayState &state, httpio::ServerRequest request,
             std::shared_ptr<httpio::ResponseWriter> reply);
    ~Exchange() override;

private:
    // What the endpoint's response is used for.
    enum class ResponseUse {
        None, // no head yet
        OfOtherRequest, // a late response to an earlier request; its bytes are dropped
        Collected, // kept until it is whole, so that a broken one can be replaced
        Relayed, // events that go to the client as they come
    };

    void run();
    // Decides whether the request is served; waits while the host reads its first configuration.
    void admit();

    // Sending
    void attempt();
    void onPlaced(const routing::PlacementTicket &ticket, routing::PlacementChoice choice);
    void logPlaced(units::Duration placing) const;
    void onConnection(ConnectOutcome outcome, std::shared_ptr<httpio::Channel> channel);
    void send();
    httpio::Headers endpointHeaders() const;

    // The endpoint's response
    void onResponseHead(const httpio::MessageHead &head) override;
    void onResponseBody(std::string_view bytes) override;
    void onResponseEnd() override;
    void onChannelFailure(httpio::ChannelFailure failure) override;
    void relay(std::string_view bytes);
    void endRelay();
    void judgeCollected();
    void deliverCollected();
    void slowDownIfUnsent();
    void noteFirstByte();
    void noteBegan();
    void noteLimit();

    // Failures
    void attemptFailed(units::ResultCode reason, bool mayHaveRun);
    routing::AttemptFailure describeFailure(bool timedOut);
    bool canSendAgain();
    void giveUp(routing::NextStep step, units::ResultCode reason);
    void refuse(int status, units::ResultCode reason, bool mayComeBack);
    void watchSilence(units::Duration limit);
    void onSilence();
    void onDeadline();
    void onClientDisconnected();

    void suspectIfSilent();
    void releaseEndpoint(routing::PlacementEvent news = routing::PlacementEvent::Withdrawn);
    void endpointFailed();
    void noteCrash();
    void noteCompleted();
    std::optional<units::Duration> quarantineRemaining();
    void dropChannel();
    void logEnd(std::string_view outcome, int status, units::ResultCode reason) const;
    void finish(std::string_view outcome, int status, units::ResultCode reason);
    units::Duration timeLeft() const;
    routing::RetryAllowance &retryAllowance();
    const routing::RequestIdentity &identity();

    GatewayState &state_;
    httpio::ServerRequest request_;
    std::shared_ptr<httpio::ResponseWriter> reply_;
    routing::RequestMetadata facts_;
    std::optional<routing::RequestIdentity> identity_; // hashed when first needed
    std::shared_ptr<const routing::RouteTable> table_; // keeps route_ alive
    routing::Admission admission_;
    const routing::Route *route_ = nullptr;
    units::PoolName pool_;
    const routing::TrafficPool *poolSettings_ = nullptr;
    units::TimePoint deadline_;
    httpio::Timers::Handle deadlineTimer_;
    httpio::Timers::Handle silenceTimer_;
    httpio::Timers::Handle suspicionTimer_;

    // The present attempt
    routing::EndpointRegistry::Status endpoint_;
    routing::PlacementTicket ticket_;
    std::uint64_t placingNumber_ = 0;
    units::TimePoint placingSince_;
    bool isPlacing_ = false;
    std::int64_t tokensToRead_ = 0;
    std::shared_ptr<httpio::Channel> channel_;
    units::TimePoint sentAt_;
    bool firstByteSeen_ = false;
    ResponseUse use_ = ResponseUse::None;
    httpio::MessageHead responseHead_;
    EndpointResponseInfo answer_;
    std::string collected_;

    // Over all attempts
    routing::PlacementQuery query_;
    int sends_ = 0; // that count against the route's attempts
    int arrivals_ = 0; // that count against the retry budget
    bool mayHaveRun_ = false;
    bool hasBegun_ = false; // some endpoint began to run it
    std::optional<units::Duration> comeBackIn_; // the placing host's word with its refusal
    EventRelay events_;
    bool responseBegun_ = false;
    bool clientGone_ = false;
    bool finished_ = false;
    // An error response that the client gets if no further attempt brings a better one.
    std::optional<httpio::MessageHead> fallbackHead_;
    std::string fallbackBody_;
};

} // namespace monsoongrade::gateway

#endif // MONSOONGRADE_GATEWAY_EXCHANGE_H
