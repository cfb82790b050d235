#include <monsoongrade/membership/memberrecord.h>

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
    std::uint64_t hash = 14695981039346656037ULL;
    const auto mix = [&hash](unsigned char byte) {
        hash = (hash ^ byte) * 1099511628211ULL;
    };
    for (const char c : salt)
        mix(static_cast<unsigned char>(c));
    mix(0xff);
    for (const char c : id.host.value())
        mix(static_cast<unsigned char>(c));
    mix(static_cast<unsigned char>(id.role));
    // The last bytes of FNV reach the high bits weakly; this finish spreads them.
    hash ^= hash >> 33;
    hash *= 0xff51afd7ed558ccdULL;
    hash ^= hash >> 33;
    return hash;
}

} // namespace monsoongrade::membership
