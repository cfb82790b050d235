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

// The datagrams between a host and the one that places requests for all; schema/placement.capnp has
// their layout. Numbers are those of the asking host.

struct AskMessage
{
    std::uint64_t number = 0;
    routing::PlacementQuery query;
};

struct AnswerMessage
{
    std::uint64_t number = 0;
    units::EndpointId endpoint; // empty if no endpoint takes the request
    std::int64_t tokensToRead = 0;
    bool isWaiting = false; // no endpoint yet: another answer follows
    std::optional<units::Duration> retryDelay; // refused because of a long queue
};

struct NewsMessage
{
    std::uint64_t number = 0;
    routing::PlacementEvent news = routing::PlacementEvent::Withdrawn;
};

struct CachedPartsMessage
{
    std::vector<routing::CachedPart> parts;
};

struct StillWaitingMessage
{
    std::vector<std::uint64_t> numbers;
};

struct NotWaitingMessage
{
    std::vector<std::uint64_t> numbers;
};

using PlacementMessage = std::variant<AskMessage, AnswerMessage, NewsMessage, CachedPartsMessage,
                                      StillWaitingMessage, NotWaitingMessage>;

// The answer that tells of the choice.
AnswerMessage answerOf(std::uint64_t number, const routing::PlacementChoice &choice);
std::string encode(const PlacementMessage &message);
// Throws kj::Exception if the bytes are not such a message.
PlacementMessage decodePlacementMessage(std::string_view datagram);

} // namespace monsoongrade::gateway::internal

#endif // MONSOONGRADE_SRC_GATEWAY_INTERNAL_PLACEMENTMESSAGES_H
