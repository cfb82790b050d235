#ifndef MONSOONGRADE_ROUTING_REQUESTMETADATA_H
#define MONSOONGRADE_ROUTING_REQUESTMETADATA_H

#include <monsoongrade/units/clock.h>
#include <monsoongrade/units/ids.h>

#include <optional>
#include <string>
#include <vector>

namespace monsoongrade::routing {

// A part of a prompt that requests may share. An endpoint that has it cached skips its prefill if
// all parts before it are cached as well.
struct PromptPart
{
    std::string id;
    units::TokenCount tokens;
};

// Metadata of one request, decoded from its headers.
struct RequestMetadata
{
    units::RequestId id; // one client attempt; empty if the client gave none
    std::string host; // lower case, without port
    std::string key; // API key, empty if none was sent
    std::optional<units::Duration> timeLeft; // how long the client still waits, at receipt
    units::ModelName model; // empty if the client named none
    std::vector<PromptPart> promptParts; // in order; the last belongs to this request or session
    units::TokenCount promptTokens;
    units::TokenCount maxOutputTokens;
    std::string lastEventId; // the client resumes its stream after this event
    // The client attempt that brought the first event of the stream that it resumes.
    units::RequestId resumes;
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_REQUESTMETADATA_H
