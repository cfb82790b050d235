#ifndef MONSOONGRADE_ROUTING_REQUESTMETADATA_H
#define MONSOONGRADE_ROUTING_REQUESTMETADATA_H

#include <monsoongrade/units/clock.h>
#include <monsoongrade/units/ids.h>

#include <optional>
#include <string>
#include <vector>

namespace monsoongrade::routing {

// A piece of a prompt that requests may share; an endpoint that has read it need not read it
// again if it has all pieces before it as well.
struct PromptPart
{
    std::string id;
    units::TokenCount tokens;
};

// What one request says about itself, decoded from its headers.
struct RequestMetadata
{
    units::RequestId id; // one client attempt; empty if the client gave none
    std::string host; // lower case, without port
    std::string key; // API key, empty if none was shown
    std::optional<units::Duration> timeLeft; // how long the client still waits, at receipt
    std::vector<PromptPart> promptParts; // in order; the last belongs to this request or session
    units::TokenCount promptTokens;
    units::TokenCount maxOutputTokens;
    std::string lastEventId; // the client resumes a stream after this event
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_REQUESTMETADATA_H
