#ifndef MONSOONGRADE_GATEWAY_EXCHANGE_H
#define MONSOONGRADE_GATEWAY_EXCHANGE_H

#include <monsoongrade/gateway/eventrelay.h>
#include <monsoongrade/gateway/forwardedrequest.h>
#include <monsoongrade/gateway/gatewaystate.h>
#include <monsoongrade/gateway/heldconnection.h>
#include <monsoongrade/gateway/replacementattempt.h>
#include <monsoongrade/httpio/server.h>
#include <monsoongrade/routing/admission.h>
#include <monsoongrade/routing/failuredecision.h>
#include <monsoongrade/routing/requestidentity.h>

#include <memory>
#include <optional>

namespace monsoongrade::gateway {

// Who sent a request to this host.
enum class RequestOrigin {
    Client,
    OtherHost, // for its client, as it can't reach the endpoints; not forwarded again
};

// Handles one client request from receipt to the final response: selects an endpoint, sends the
// request, relays the response, and retries or gives up after a failure as the routing library
// decides. Keeps itself alive until it is finished.
class Exchange : public std::enable_shared_from_this<Exchange>,
                 private httpio::ChannelListener,
                 private ReplacementListener
{
public:
    static void start(GatewayState &state, httpio::ServerRequest request,
                      std::shared_ptr<httpio::ResponseWriter> reply, RequestOrigin origin);

    Exchange(GatewayState &state, httpio::ServerRequest request,
             std::shared_ptr<httpio::ResponseWriter> reply, RequestOrigin origin);
    ~Exchange() override;

    // The host closes its listening sockets for a planned stop. Refuses the request if it waits for
    // an endpoint and may outlast the host, as other hosts can still serve it.
    void onHostClosing();
    // The host is about to end. Responds with what is known of the request, or breaks off a
    // response that has begun.
    void onHostEnding();

private:
    enum class ResponseUse {
        None, // no response head received yet
        OfOtherRequest, // a late response to an earlier request; discarded
        Collected, // buffered until complete, so that a truncated one can be replaced by a retry
        Relayed, // events are passed on to the client as they arrive
    };

    void run();
    // Decides whether the request is served. Waits while the host reads its first configuration.
    void admit();

    // Streams that a client resumes
    bool isResumption() const;
    void findStreamVersion();
    void onStreamVersionFound(std::optional<units::SoftwareVersion> version);
    void onFirstEvent();

    // Sending
    void startAttempt();
    void updateQuery();
    void onPlaced(const routing::PlacementTicket &ticket, routing::PlacementChoice choice);
    int maxConnections() const;
    void logPlaced(const EndpointAttempt &attempt, units::Duration placementTime) const;
    void logClientLeftBeforeSend() const;
    void onConnection(ConnectOutcome outcome, std::shared_ptr<httpio::Channel> channel);
    void send();
    bool maySendTo(const routing::EndpointStatus &endpoint) const;
    std::string requestHeadFor(const routing::EndpointStatus &endpoint,
                               const std::string &cacheSource) const;
    std::string cacheSourceAddress(const routing::EndpointStatus &endpoint,
                                   const units::EndpointId &cacheSource) const;
    void countCacheCopy();
    void startSuspicionTimer();

    // Another endpoint for a request whose endpoint is silent
    void startSilenceTimer(units::Duration limit);
    void onSilenceTimeout();
    void seekReplacement();
    void onReplacementPlaced(units::Duration placementTime) override;
    void onReplacementConnected() override;
    void onReplacementAccepted(const httpio::MessageHead &head) override;
    void onReplacementFailed(const FailedReplacement &failed) override;
    void giveUpSilentEndpoint();
    void giveUpSilentReplacement();
    void takeReplacement();
    void keepCurrentAttempt();
    void dropReplacement();
    void addTried(const units::EndpointId &endpoint);

    // Sending through another host
    std::string forwardingHost() const;
    void forward(const std::string &host);
    void onForwardingEnded(ForwardingResult result);
    void onForwardedResponse(const ForwardedRequest &forwarded);

    // The endpoint's response
    void onResponseHead(const httpio::MessageHead &head) override;
    void onResponseBody(std::string_view bytes) override;
    void onResponseEnd() override;
    void onChannelFailure(httpio::ChannelFailure failure) override;
    void relay(std::string_view bytes);
    void finishRelay();
    void onCollectedEnd();
    void deliverCollected();
    double expectedMs() const;
    void onFirstByte();
    void countUsage();
    std::vector<units::EndpointId> pausedEndpoints() const;
    std::optional<units::Duration> pauseOfPool() const;

    // Failures
    void onResponseTooLong();
    void onResponseWithoutId(int status);
    void abandonResponse();
    void onAttemptFailed(units::ResultCode reason, bool mayHaveRun);
    void logAttemptFailed(const std::string &target, units::ResultCode reason);
    routing::AttemptFailure describeFailure(bool timedOut);
    bool canRetry();
    void giveUp(routing::NextStep step, units::ResultCode reason);
    void refuse(int status, units::ResultCode reason, bool mayRetry);
    std::optional<units::Duration> retryAfter(units::ResultCode reason);
    void onDeadline();
    void onClientDisconnected();

    void reportIfSilent();
    void releaseEndpoint(routing::PlacementEvent event = routing::PlacementEvent::Withdrawn);
    void forgetEndpoint();
    void onEndpointFailure();
    void reportEndpointFailure(const routing::EndpointRegistry::Status &endpoint,
                               const routing::PlacementTicket &ticket);
    void countFailure(routing::EndpointStatus &endpoint, const routing::PlacementTicket &ticket);
    void recordCrash(const routing::EndpointStatus &endpoint);
    void recordCrashOfParts(const routing::EndpointStatus &endpoint);
    void recordCompletion();
    std::optional<units::Duration> quarantineRemaining();
    std::string quarantinedPart();
    void logQuarantined();
    std::string sharedPartIds() const;
    void releaseUnusedChannel();
    void dropChannel();
    // The endpoint or host of the latest attempt.
    std::string latestTarget() const;
    std::string resumedRequest() const;
    void logEnd(std::string_view outcome, int status, units::ResultCode reason) const;
    void logCutOff() const;
    void countHeldBytes();
    // What the request waits for, as the log names it.
    std::string_view phase() const;
    void finish(std::string_view outcome, int status, units::ResultCode reason);
    units::Duration timeLeft() const;
    routing::RetryAllowance &retryAllowance();
    const routing::RequestIdentity &identity();
    const std::vector<routing::RequestIdentity> &sharedParts();

    GatewayState &state_;
    httpio::ServerRequest request_;
    std::shared_ptr<httpio::ResponseWriter> reply_;
    RequestOrigin origin_;
    routing::RequestMetadata metadata_;
    std::optional<routing::RequestIdentity> identity_; // hashed when first needed
    std::optional<std::vector<routing::RequestIdentity>> sharedParts_; // likewise
    std::shared_ptr<const routing::RouteTable> table_; // keeps route_ alive
    routing::Admission admission_;
    const routing::Route *route_ = nullptr;
    units::PoolName pool_;
    const routing::TrafficPool *poolSettings_ = nullptr;
    units::TimePoint deadline_;
    httpio::Timers::Handle deadlineTimer_;
    httpio::Timers::Handle silenceTimer_;
    httpio::Timers::Handle suspicionTimer_;

    // The current attempt
    routing::EndpointRegistry::Status endpoint_;
    routing::PlacementTicket ticket_;
    std::uint64_t placementNumber_ = 0;
    units::TimePoint placementStartedAt_;
    bool isPlacing_ = false;
    std::int64_t tokensToRead_ = 0;
    units::Duration expectedFirstEvent_{}; // 0: unknown
    units::EndpointId cacheSource_; // endpoint to copy cached prompt parts from; empty: none
    HeldConnection channel_;
    units::TimePoint sentAt_;
    bool wasBrittleWhenSent_ = false; // as far as this host knew
    units::SoftwareVersion sentToVersion_;
    bool firstByteSeen_ = false;
    ResponseUse use_ = ResponseUse::None;
    httpio::MessageHead responseHead_;
    EndpointResponseInfo answer_;
    std::string collected_;
    std::size_t skippedBytes_ = 0; // of responses to other requests

    std::shared_ptr<ReplacementAttempt> replacement_; // while the endpoint is silent
    std::shared_ptr<ForwardedRequest> forwarded_; // while another host handles the request

    // Over all attempts
    int unreachableEndpoints_ = 0; // no connection could be made
    std::vector<std::string> triedHosts_; // to which the request was forwarded
    routing::PlacementQuery query_;
    int sends_ = 0; // counted against the route's maximum number of attempts
    int totalSends_ = 0; // counted against the retry budget
    bool mayHaveRun_ = false;
    bool isUsageCounted_ = false; // an endpoint began to run the request
    // When the client should retry: given with a refused placement, or the end of a pause.
    std::optional<units::Duration> retryDelay_;
    bool isReturnScheduled_ = false; // room is booked for the request after retryDelay_
    EventRelay events_;
    bool responseBegun_ = false;
    bool clientDisconnected_ = false;
    bool finished_ = false;
    // Error response of an earlier attempt, sent to the client if no later attempt succeeds.
    std::optional<httpio::MessageHead> fallbackHead_;
    std::string fallbackBody_;
    units::HeldBytes heldBytes_; // in collected_, fallbackBody_ and events_
};

} // namespace monsoongrade::gateway

#endif // MONSOONGRADE_GATEWAY_EXCHANGE_H
