#ifndef MONSOONGRADE_REQUESTS_DECISIONLOG_H
#define MONSOONGRADE_REQUESTS_DECISIONLOG_H

#include <monsoongrade/units/clock.h>
#include <monsoongrade/units/ids.h>
#include <monsoongrade/units/resultcode.h>

#include <array>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace monsoongrade::requests {

enum class DecisionKind {
    Classified,
    // Given the answer of the request that holds its idempotency key.
    Attached,
    // The router that holds the key was asked.
    HolderAsked,
    Queued,
    Granted,
    Called,
    Retried,
    Refused,
    Failed,
    Completed
};

std::string_view decisionKindName(DecisionKind kind);

// One decision about one request.
struct Decision
{
    units::RequestId request;
    units::TimePoint at;
    DecisionKind kind = DecisionKind::Classified;
    units::ResultCode code = units::ResultCode::Ok;
    std::string detail;
};

// Keeps the latest decisions in bounded rings, one per shard with a lock each, to be asked for
// by request id. Thread-safe.
class DecisionLog
{
public:
    void add(Decision decision);
    // In the order in which they were made; empty where the ring has moved on.
    std::vector<Decision> find(const units::RequestId &request) const;

private:
    static constexpr std::size_t ShardCount = 16;
    static constexpr std::size_t DecisionsPerShard = 4096;
    struct Shard
    {
        mutable std::mutex mutex;
        std::deque<Decision> ring;
    };

    const Shard &shardOf(const units::RequestId &request) const;

    std::array<Shard, ShardCount> shards_;
};

} // namespace monsoongrade::requests

#endif // MONSOONGRADE_REQUESTS_DECISIONLOG_H
