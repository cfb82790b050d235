#ifndef MONSOONGRADE_ROUTING_REQUESTIDENTITY_H
#define MONSOONGRADE_ROUTING_REQUESTIDENTITY_H

#include <monsoongrade/units/ids.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace monsoongrade::routing {

// Hash of a request's method, host, target and body.
using RequestDigest = units::StrongNumber<struct RequestDigestTag, std::uint64_t>;

// Identifies a request across client attempts, or a prompt part that requests share, as the
// possible cause of crashes. The workspace is included so that a deliberate collision of digests
// affects only requests of the attacker's own workspace; a part has none, since it crashes
// endpoints whoever sends it.
struct RequestIdentity
{
    units::WorkspaceName workspace; // empty on public routes and for prompt parts
    RequestDigest digest;

    friend bool operator==(const RequestIdentity &a, const RequestIdentity &b)
    {
        return a.digest == b.digest && a.workspace == b.workspace;
    }
    friend bool operator<(const RequestIdentity &a, const RequestIdentity &b)
    {
        return a.digest != b.digest ? a.digest < b.digest : a.workspace < b.workspace;
    }
};

// The digest of a request, the same on all hosts.
RequestDigest digestOf(std::string_view method, std::string_view host, std::string_view target,
                       std::string_view body);

// Identifies a part of prompts for the model, the same on all hosts.
RequestIdentity identityOfPart(const units::ModelName &model, std::string_view partId);

// The digest as 16 hexadecimal digits, for logs.
std::string digestText(RequestDigest digest);

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_REQUESTIDENTITY_H
