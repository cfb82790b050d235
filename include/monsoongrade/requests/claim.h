#ifndef MONSOONGRADE_REQUESTS_CLAIM_H
#define MONSOONGRADE_REQUESTS_CLAIM_H

#include <monsoongrade/units/ids.h>
#include <monsoongrade/units/result.h>

#include <string>

namespace monsoongrade::requests {

// The right of one router to run the request of one idempotency key, as the platform keeps it.
struct Claim
{
    // Id of the attempt that took it, unique over all routers and their lives; tells a router
    // whose reply was lost that the claim it reads back is its own.
    units::RequestId attempt;
    units::DaemonId holder;
    // Of the request, to notice a key that is used for another one.
    std::string fingerprint;
};

std::string toText(const Claim &claim);
// Errors: PlatformAnswerMalformed.
units::Result<Claim> parseClaim(const std::string &text);

// Name of the object that holds the key's claim.
std::string claimName(const units::WorkspaceName &workspace, const units::IdempotencyKey &key);

} // namespace monsoongrade::requests

#endif // MONSOONGRADE_REQUESTS_CLAIM_H
