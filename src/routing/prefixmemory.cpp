#include <monsoongrade/routing/prefixmemory.h>

namespace monsoongrade::routing {

namespace {

// Engines keep some 80 to 100 long prompts; with 300 subjects over 9 engines a part stays cached
// for tens of seconds. A part taken for cached that is not costs one slow first event.
constexpr auto Remembered = std::chrono::seconds(20);

std::string memoryKey(const std::string &part, const units::EndpointId &endpoint,
                      Incarnation incarnation)
{
    return part + " " + endpoint.value() + " " + std::to_string(incarnation.value());
}

} // namespace

void PrefixMemory::remember(const std::string &part, const units::EndpointId &endpoint,
                            Incarnation incarnation, units::TimePoint now)
{
    lastSent_[memoryKey(part, endpoint, incarnation)] = now;
    if (now >= nextCleaning_)
        forgetOld(now);
}

bool PrefixMemory::knows(const std::string &part, const units::EndpointId &endpoint,
                         Incarnation incarnation, units::TimePoint now) const
{
    const auto found = lastSent_.find(memoryKey(part, endpoint, incarnation));
    return found != lastSent_.end() && now - found->second < Remembered;
}

void PrefixMemory::forgetOld(units::TimePoint now)
{
    nextCleaning_ = now + Remembered;
    for (auto entry = lastSent_.begin(); entry != lastSent_.end();)
        entry = now - entry->second >= Remembered ? lastSent_.erase(entry) : std::next(entry);
}

} // namespace monsoongrade::routing
