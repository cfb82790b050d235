#include <monsoongrade/membership/memberrecord.h>

#include <monsoongrade/units/stablehash.h>

namespace monsoongrade::membership {

bool mergeInto(MemberRecord &record, const MemberRecord &news)
{
    if (news.life < record.life)
        return false;
    if (news.life > record.life) {
        record = news;
        return true;
    }
    bool changed = false;
    if (news.leaving && !record.leaving) {
        record.leaving = true;
        changed = true;
    }
    if (std::tie(record.refutation, record.health) < std::tie(news.refutation, news.health)) {
        record.refutation = news.refutation;
        record.health = news.health;
        changed = true;
    }
    return changed;
}

std::uint64_t stableHash(const MemberId &id, const std::string &salt)
{
    constexpr std::uint64_t SaltEnd = 0xff;
    units::StableHash stable;
    stable.add(salt);
    stable.add(SaltEnd);
    stable.add(id.host.value());
    stable.add(static_cast<std::uint64_t>(id.role));
    std::uint64_t hash = stable.value();
    // Spreads the last bytes over all bits.
    hash ^= hash >> 33;
    hash *= 0xff51afd7ed558ccdULL;
    hash ^= hash >> 33;
    return hash;
}

} // namespace monsoongrade::membership
