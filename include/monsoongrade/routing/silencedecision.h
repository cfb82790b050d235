#ifndef MONSOONGRADE_ROUTING_SILENCEDECISION_H
#define MONSOONGRADE_ROUTING_SILENCEDECISION_H

#include <monsoongrade/routing/route.h>
#include <monsoongrade/units/clock.h>

namespace monsoongrade::routing {

// Time without a byte from the endpoint after which a request that may run twice is offered to
// another one. hasEvent: the endpoint has sent an event of the stream.
units::Duration silenceLimit(const Route &route, bool hasEvent);

// The same for an endpoint that has been offered the request because another one is silent.
units::Duration replacementSilenceLimit(const Route &route, bool runsModel);

// A request whose endpoint, or the one that is to replace it, has been silent for its limit.
struct SilentRequest
{
    bool mayBeSentAgain = false; // see decideAfterFailure()
    bool hasReplacement = false; // another endpoint has been sent the request
    // The response begins only when the run is over, and two runs on models must not overlap.
    bool runsUnseen = false;
};

enum class SilenceStep {
    KeepWaiting, // a late response is better than none
    SeekReplacement, // the silent endpoint keeps the request meanwhile
    ChangeReplacement, // likewise; the replacement is given up
    TakeReplacement, // the silent endpoint is given up
};

SilenceStep decideOnSilence(const SilentRequest &request);

// The head of a response of an endpoint that has been offered a request while another one has it.
struct ReplacementResponse
{
    bool hasRequestId = false;
    bool isToRequest = false; // the id is that of the request
    bool isSuccess = false;
    bool isServerError = false;
    bool isSigned = false;
    bool provenNotRun = false;
    bool isOfOtherEndpoint = false; // which has the address now
    bool mustBeStream = false;
};

enum class ReplacementVerdict {
    TakesOver, // the response goes to the client
    Rejected, // the endpoint works, but has not taken the request
    OfOtherRequest, // a late response to an earlier request; another one follows
    Unusable, // nothing more on the connection can be used
};

// Decides whether an endpoint has taken a request that another one still has. Only a response that
// the client can get is worth more than that of the endpoint which has begun.
ReplacementVerdict judgeReplacement(const ReplacementResponse &response);

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_SILENCEDECISION_H
