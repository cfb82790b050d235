#ifndef MONSOONGRADE_REQUESTS_ISSUEDKEY_H
#define MONSOONGRADE_REQUESTS_ISSUEDKEY_H

#include <monsoongrade/units/clock.h>
#include <monsoongrade/units/ids.h>

#include <cstdint>
#include <optional>

namespace monsoongrade::requests {

// An idempotency key that a router handed out. It names the router and its incarnation, and only
// that one ever runs the key's request, so no claim in the platform is needed; a router that
// restarts has another incarnation and can't run it a second time.
struct IssuedKey
{
    units::DaemonId router;
    // When it was handed out, on the router's own clock. Only that router reads it.
    units::Duration issuedAt{};
    std::uint64_t number = 0;
};

units::IdempotencyKey toKey(const IssuedKey &key);
// Nothing where the key is of a caller's own making.
std::optional<IssuedKey> parseIssuedKey(const units::IdempotencyKey &key);

} // namespace monsoongrade::requests

#endif // MONSOONGRADE_REQUESTS_ISSUEDKEY_H
