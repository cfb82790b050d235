#include <monsoongrade/requests/keytable.h>

namespace monsoongrade::requests {

KeyTable::KeyTable(const units::Clock &clock, const KeyTableLimits &limits)
    : clock_(clock)
    , limits_(limits)
{
}

void KeyTable::with(const std::string &name, const std::function<void(KeyEntry *)> &function)
{
    Shard &shard = shardOf(name);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.entries.find(name);
    function(found == shard.entries.end() ? nullptr : &found->second);
}

bool KeyTable::withNew(const std::string &name,
                       const std::function<void(KeyEntry &, bool)> &function)
{
    Shard &shard = shardOf(name);
    const std::lock_guard lock(shard.mutex);
    purge(shard);
    const auto found = shard.entries.find(name);
    if (found != shard.entries.end()) {
        function(found->second, false);
        return true;
    }
    if (shard.entries.size() >= limits_.entries / ShardCount)
        return false;
    function(shard.entries[name], true);
    return true;
}

void KeyTable::ended(const std::string &name, KeyState state)
{
    Shard &shard = shardOf(name);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.entries.find(name);
    if (found == shard.entries.end())
        return;
    found->second.state = state;
    found->second.endedAt = clock_.now();
    const std::size_t bytes = found->second.answer->keptBytes();
    shard.answerBytes += bytes;
    shard.ended.push_back({name, found->second.endedAt, bytes});
}

void KeyTable::erase(const std::string &name)
{
    Shard &shard = shardOf(name);
    const std::lock_guard lock(shard.mutex);
    shard.entries.erase(name);
}

std::size_t KeyTable::size() const
{
    std::size_t total = 0;
    for (const Shard &shard : shards_) {
        const std::lock_guard lock(shard.mutex);
        total += shard.entries.size();
    }
    return total;
}

KeyTable::Shard &KeyTable::shardOf(const std::string &name)
{
    return shards_[std::hash<std::string>()(name) % ShardCount];
}

void KeyTable::purge(Shard &shard)
{
    const units::TimePoint now = clock_.now();
    while (!shard.ended.empty()) {
        const bool isOld = now - shard.ended.front().at >= limits_.answersKept;
        if (!isOld && shard.answerBytes <= limits_.answerBytes / ShardCount)
            return;
        const Ended oldest = std::move(shard.ended.front());
        shard.ended.pop_front();
        shard.answerBytes -= oldest.bytes;
        const auto found = shard.entries.find(oldest.name);
        // Worked on again since, or gone.
        if (found == shard.entries.end() || found->second.state == KeyState::Working
            || found->second.endedAt != oldest.at)
            continue;
        KeyEntry &entry = found->second;
        entry.answer->forget();
        if (now >= entry.keepUntil) {
            shard.entries.erase(found);
            continue;
        }
        entry.endedAt = now;
        shard.ended.push_back({oldest.name, now, 0});
    }
}

} // namespace monsoongrade::requests
