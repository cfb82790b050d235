#ifndef MONSOONGRADE_REQUESTS_FLOWTABLE_H
#define MONSOONGRADE_REQUESTS_FLOWTABLE_H

#include <monsoongrade/requests/requestflow.h>

#include <array>
#include <atomic>
#include <map>
#include <memory>
#include <mutex>

namespace monsoongrade::requests {

// The open requests of a router, in shards with a lock each.
class FlowTable
{
public:
    // False where as many as the limit are open.
    bool tryReserve(std::size_t limit);
    void unreserve() { --open_; }

    void add(const units::RequestId &id, std::shared_ptr<RequestFlow> flow);
    // Forgets the flow and gives its reservation back.
    void remove(const units::RequestId &id);
    std::size_t open() const { return open_; }

private:
    static constexpr std::size_t ShardCount = 16;
    struct Shard
    {
        std::mutex mutex;
        std::map<units::RequestId, std::shared_ptr<RequestFlow>> flows;
    };

    Shard &shardOf(const units::RequestId &id);

    std::array<Shard, ShardCount> shards_;
    std::atomic<std::size_t> open_{0};
};

} // namespace monsoongrade::requests

#endif // MONSOONGRADE_REQUESTS_FLOWTABLE_H
