#include <monsoongrade/standins/loadhistory.h>

namespace monsoongrade::standins {

namespace {

constexpr auto Kept = std::chrono::minutes(1);
// Loads within this time of the last one replace it, which bounds the entries.
constexpr auto Grain = std::chrono::milliseconds(10);

} // namespace

void LoadHistory::add(units::TimePoint now, const EngineLoad &load)
{
    const bool replaces = entries_.size() > 1 && now - (entries_.end() - 2)->time < Grain;
    if (replaces)
        entries_.pop_back();
    entries_.push_back({now, load});
    while (entries_.size() > 1 && entries_[1].time < now - Kept)
        entries_.pop_front();
}

EngineLoad LoadHistory::at(units::TimePoint time) const
{
    EngineLoad found = entries_.empty() ? EngineLoad() : entries_.front().load;
    for (const Entry &entry : entries_) {
        if (entry.time > time)
            break;
        found = entry.load;
    }
    return found;
}

} // namespace monsoongrade::standins
