#ifndef MONSOONGRADE_SRC_GATEWAY_INTERNAL_PLACEMENTMESSAGES_H
#define MONSOONGRADE_SRC_GATEWAY_INTERNAL_PLACEMENTMESSAGES_H

#include <monsoongrade/routing/requestplacer.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace monsoongrade::gateway::internal {

// Datagrams between a host and the placement coordinator, as defined in schema/placement.capnp.
// Numbers are assigned by the host that requests the placement.

struct QueryMessage
{
    std::uint64_t number = 0;
    routing::PlacementQuery query;
    double lentShare = 0; // of each endpoint's limit, 0 to 1
    // A limit that the last choice for this request was not counted against.
    std::optional<routing::RateLimitUpdate> limit;
};

struct AnswerMessage
{
    std::uint64_t number = 0;
    units::EndpointId endpoint; // empty if no endpoint accepts the request
    std::int64_t tokensToRead = 0;
    bool isWaiting = false; // queued; another answer follows
    std::optional<units::Duration> retryDelay; // set if refused because of a long queue
    bool isLimited = false; // counted against the endpoint's limit of requests
    bool isWithinSlots = false; // counted against its slots, as it survives few rejections
    units::Duration expectedFirstEvent{}; // 0: unknown
    bool isReturnScheduled = false;
    units::EndpointId cacheSource; // empty: none
};

struct EventMessage
{
    std::uint64_t number = 0;
    routing::PlacementEvent event = routing::PlacementEvent::Withdrawn;
};

struct CachedPartsMessage
{
    std::vector<routing::CachedPart> parts;
};

struct EndpointSpeedsMessage
{
    std::vector<routing::performance::LearnedSpeed> speeds;
};

struct StillWaitingMessage
{
    std::vector<std::uint64_t> numbers;
};

struct NotWaitingMessage
{
    std::vector<std::uint64_t> numbers;
};

struct LoanMessage
{
    double lentShare = 0; // of each endpoint's limit, 0 to 1
    bool isOfCell = false; // in divided pools, not in the others
};

using PlacementMessage
    = std::variant<QueryMessage, AnswerMessage, EventMessage, CachedPartsMessage,
                   StillWaitingMessage, NotWaitingMessage, LoanMessage, EndpointSpeedsMessage>;

// Returns the answer that describes the choice.
AnswerMessage answerFor(std::uint64_t number, const routing::PlacementChoice &choice);
std::string encode(const PlacementMessage &message);
// Throws kj::Exception if the datagram is not a placement message.
PlacementMessage decodePlacementMessage(std::string_view datagram);

} // namespace monsoongrade::gateway::internal

#endif // MONSOONGRADE_SRC_GATEWAY_INTERNAL_PLACEMENTMESSAGES_H
