#include <monsoongrade/membership/rendezvous.h>

#include <algorithm>
#include <cstdint>

namespace monsoongrade::membership {

namespace {

// Must give the same value on every host and in every version, so std::hash won't do.
std::uint64_t weight(const std::string &cell, const units::HostName &host)
{
    std::uint64_t hash = 14695981039346656037ULL;
    const auto mix = [&hash](const std::string &text) {
        for (const unsigned char c : text)
            hash = (hash ^ c) * 1099511628211ULL;
        hash = (hash ^ 0xffU) * 1099511628211ULL;
    };
    mix(cell);
    mix(host.value());
    // The last bytes of FNV reach the high bits weakly; this finish spreads them.
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
