#include <monsoongrade/requests/flowtable.h>

namespace monsoongrade::requests {

bool FlowTable::tryReserve(std::size_t limit)
{
    if (++open_ <= limit)
        return true;
    --open_;
    return false;
}

void FlowTable::add(const units::RequestId &id, std::shared_ptr<RequestFlow> flow)
{
    Shard &shard = shardOf(id);
    const std::lock_guard lock(shard.mutex);
    shard.flows.emplace(id, std::move(flow));
}

void FlowTable::remove(const units::RequestId &id)
{
    std::shared_ptr<RequestFlow> last;
    Shard &shard = shardOf(id);
    {
        const std::lock_guard lock(shard.mutex);
        const auto found = shard.flows.find(id);
        if (found == shard.flows.end())
            return;
        last = std::move(found->second);
        shard.flows.erase(found);
    }
    --open_;
}

FlowTable::Shard &FlowTable::shardOf(const units::RequestId &id)
{
    return shards_[std::hash<units::RequestId>()(id) % ShardCount];
}

} // namespace monsoongrade::requests
