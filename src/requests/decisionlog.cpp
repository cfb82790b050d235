#include <monsoongrade/requests/decisionlog.h>

namespace monsoongrade::requests {

std::string_view decisionKindName(DecisionKind kind)
{
    switch (kind) {
    case DecisionKind::Classified:
        return "classified";
    case DecisionKind::Attached:
        return "attached";
    case DecisionKind::HolderAsked:
        return "holder-asked";
    case DecisionKind::Queued:
        return "queued";
    case DecisionKind::Granted:
        return "granted";
    case DecisionKind::Called:
        return "called";
    case DecisionKind::Retried:
        return "retried";
    case DecisionKind::Refused:
        return "refused";
    case DecisionKind::Failed:
        return "failed";
    case DecisionKind::Completed:
        return "completed";
    }
    return "unnamed";
}

void DecisionLog::add(Decision decision)
{
    auto &shard = const_cast<Shard &>(shardOf(decision.request));
    const std::lock_guard lock(shard.mutex);
    shard.ring.push_back(std::move(decision));
    if (shard.ring.size() > DecisionsPerShard)
        shard.ring.pop_front();
}

std::vector<Decision> DecisionLog::find(const units::RequestId &request) const
{
    const Shard &shard = shardOf(request);
    const std::lock_guard lock(shard.mutex);
    std::vector<Decision> found;
    for (const Decision &decision : shard.ring) {
        if (decision.request == request)
            found.push_back(decision);
    }
    return found;
}

const DecisionLog::Shard &DecisionLog::shardOf(const units::RequestId &request) const
{
    return shards_[std::hash<units::RequestId>()(request) % ShardCount];
}

} // namespace monsoongrade::requests
