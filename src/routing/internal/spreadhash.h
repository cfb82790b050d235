#ifndef MONSOONGRADE_SRC_ROUTING_INTERNAL_SPREADHASH_H
#define MONSOONGRADE_SRC_ROUTING_INTERNAL_SPREADHASH_H

#include <monsoongrade/units/stablehash.h>

#include <cstdint>

namespace monsoongrade::routing::internal {

// The hash with its bits spread: FNV-1a alone lets the last bytes reach the high bits only weakly,
// and rendezvous hashing compares high bits.
inline std::uint64_t spread(const units::StableHash &hash)
{
    const std::uint64_t value = hash.value();
    return (value ^ (value >> 33)) * 0xff51afd7ed558ccdULL;
}

} // namespace monsoongrade::routing::internal

#endif // MONSOONGRADE_SRC_ROUTING_INTERNAL_SPREADHASH_H
