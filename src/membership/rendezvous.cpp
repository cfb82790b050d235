#include <monsoongrade/membership/rendezvous.h>

#include <monsoongrade/units/stablehash.h>

#include <algorithm>
#include <cstdint>

namespace monsoongrade::membership {

namespace {

// Keeps "a" + "bc" apart from "ab" + "c"; no byte of UTF-8.
constexpr std::uint64_t TextEnd = 0xff;

std::uint64_t weight(const std::string &cell, const units::HostName &host)
{
    units::StableHash stable;
    for (const std::string &text : {cell, host.value()}) {
        stable.add(text);
        stable.add(TextEnd);
    }
    std::uint64_t hash = stable.value();
    // Spreads the last bytes over all bits.
    hash ^= hash >> 33;
    hash *= 0xff51afd7ed558ccdULL;
    hash ^= hash >> 33;
    hash *= 0xc4ceb9fe1a85ec53ULL;
    hash ^= hash >> 33;
    return hash;
}

} // namespace

std::vector<Member> rendezvousOrder(const std::string &cell, std::vector<Member> members)
{
    std::sort(members.begin(), members.end(), [&cell](const Member &a, const Member &b) {
        return std::pair(weight(cell, b.host), b.host) < std::pair(weight(cell, a.host), a.host);
    });
    return members;
}

} // namespace monsoongrade::membership
