#include <monsoongrade/rpc/rpcconfigurationpeers.h>

namespace monsoongrade::rpc {

namespace {

using membership::Health;
using membership::MemberRecord;

// Enough that one is always there while the news of another's death spread; each costs the
// store one call a second, however many daemons there are.
constexpr std::size_t Watchers = 3;
constexpr std::size_t MaxAsked = 3;

} // namespace

RpcConfigurationPeers::RpcConfigurationPeers(PeerClient &client, membership::Membership &membership)
    : client_(client)
    , membership_(membership)
    , random_(std::random_device{}())
{
}

bool RpcConfigurationPeers::isWatcher()
{
    const auto weight = [](const MemberRecord &record) {
        return membership::stableHash(record.id, "configuration");
    };
    const std::uint64_t own = weight(membership_.self());
    std::size_t before = 0;
    for (const MemberRecord &record : membership_.members()) {
        if (record.health == Health::Alive && !record.leaving && weight(record) < own)
            ++before;
    }
    return before < Watchers;
}

bool RpcConfigurationPeers::hasNewer()
{
    return membership_.newerConfigurationAt().has_value();
}

units::Result<configuration::ManifestContents>
RpcConfigurationPeers::fetch(units::Generation above, const configuration::TextByHash &known)
{
    if (const auto newer = membership_.newerConfigurationAt())
        return client_.fetchConfiguration(*newer, above, known);
    std::vector<MemberRecord> alive;
    for (const MemberRecord &record : membership_.members()) {
        if (record.health == Health::Alive)
            alive.push_back(record);
    }
    std::shuffle(alive.begin(), alive.end(), random_);
    for (std::size_t i = 0; i < alive.size() && i < MaxAsked; ++i) {
        const auto answer
            = units::capture([&] { return client_.fetchConfiguration(alive[i], above, known); });
        if (answer.value && answer.value->manifest.generation > above)
            return *answer.value;
    }
    return units::fail(units::ResultCode::NoConfiguration,
                       "no other daemon that could be reached has a newer configuration");
}

void RpcConfigurationPeers::inForce(units::Generation generation)
{
    membership_.setGeneration(generation);
}

} // namespace monsoongrade::rpc
