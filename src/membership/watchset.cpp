#include <monsoongrade/membership/watchset.h>

#include <algorithm>

namespace monsoongrade::membership {

namespace {

// Sorts the members by the given hash and moves the first `count` to the result.
template <typename Hash>
void moveLowest(std::vector<MemberId> &from, std::vector<MemberId> &to, std::size_t count,
                Hash hash)
{
    std::sort(from.begin(), from.end(), [&hash](const MemberId &a, const MemberId &b) {
        return std::pair(hash(a), a) < std::pair(hash(b), b);
    });
    const auto end = from.begin() + static_cast<std::ptrdiff_t>(std::min(count, from.size()));
    to.insert(to.end(), from.begin(), end);
    from.erase(from.begin(), end);
}

} // namespace

std::vector<MemberId> watchSet(const MemberId &self, const std::vector<MemberId> &others,
                               std::size_t ringNeighbours, std::size_t randomNeighbours)
{
    std::vector<MemberId> left = others;
    std::vector<MemberId> chosen;
    const std::uint64_t own = stableHash(self, "ring");
    // Unsigned difference: how far the member is ahead on the ring.
    moveLowest(left, chosen, ringNeighbours,
               [own](const MemberId &id) { return stableHash(id, "ring") - own; });
    const std::string salt = self.host.value() + (self.role == DaemonRole::Router ? "/r" : "/s");
    moveLowest(left, chosen, randomNeighbours,
               [&salt](const MemberId &id) { return stableHash(id, salt); });
    return chosen;
}

} // namespace monsoongrade::membership
