#ifndef MONSOONGRADE_REQUESTS_CLAIM_H
#define MONSOONGRADE_REQUESTS_CLAIM_H

#include <monsoongrade/units/ids.h>
#include <monsoongrade/units/result.h>

#include <cstdint>
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
    // The claim epoch in which it was taken; 0 where the taker did not know it. See ClaimEpoch.
    std::uint64_t epoch = 0;
};

std::string toText(const Claim &claim);
// Errors: PlatformAnswerMalformed.
units::Result<Claim> parseClaim(const std::string &text);

// Name of the object that holds the key's claim. A hash of the key stands first, so that a sweeper
// can list all claims in parts of about the same size, whatever keys the callers choose.
std::string claimName(const units::WorkspaceName &workspace, const units::IdempotencyKey &key);
constexpr int ClaimHashDigits = 3;
// Start of the names of one part; there are 16 to the power of `digits` parts.
std::string claimPrefix(std::size_t part, int digits);

} // namespace monsoongrade::requests

#endif // MONSOONGRADE_REQUESTS_CLAIM_H
