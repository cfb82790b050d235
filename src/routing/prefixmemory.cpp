#include <monsoongrade/routing/prefixmemory.h>

namespace monsoongrade::routing {

namespace {

// Engines keep some 80 to 100 long prompts; with 300 subjects over 9 engines a part stays cached
// for tens of seconds. A part taken for cached that is not costs one slow first event.
constexpr auto Remembered = std::chrono::seconds(20);

// A host that became a successor knows all parts in use after this time, for about one datagram
// of 20 parts every 0.2 s.
constexpr auto TellAgainAfter = std::chrono::seconds(2);

std::string memoryKey(const std::string &part, const units::EndpointId &endpoint,
                      Incarnation incarnation)
{
    return part + " " + endpoint.value() + " " + std::to_string(incarnation.value());
}

} // namespace

bool PrefixMemory::remember(const std::string &part, const units::EndpointId &endpoint,
                            Incarnation incarnation, units::TimePoint now)
{
    Entry &entry = entries_[memoryKey(part, endpoint, incarnation)];
    entry.lastSent = now;
    const bool isToTell = now - entry.lastTold >= TellAgainAfter;
    if (isToTell)
        entry.lastTold = now;
    if (now >= nextCleaning_)
        forgetOld(now);
    return isToTell;
}

bool PrefixMemory::knows(const std::string &part, const units::EndpointId &endpoint,
                         Incarnation incarnation, units::TimePoint now) const
{
    const auto found = entries_.find(memoryKey(part, endpoint, incarnation));
    return found != entries_.end() && now - found->second.lastSent < Remembered;
}

void PrefixMemory::forgetOld(units::TimePoint now)
{
    nextCleaning_ = now + Remembered;
    for (auto entry = entries_.begin(); entry != entries_.end();)
        entry
            = now - entry->second.lastSent >= Remembered ? entries_.erase(entry) : std::next(entry);
}

} // namespace monsoongrade::routing
