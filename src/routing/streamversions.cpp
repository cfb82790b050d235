#include <monsoongrade/routing/streamversions.h>

#include <utility>

namespace monsoongrade::routing {

namespace {

// A client resumes its stream within its deadline, which is 4 to 15 s after its first attempt.
constexpr auto RotationInterval = std::chrono::seconds(60);
// An entry takes about 200 bytes.
constexpr std::size_t MaxStreams = 16384;

} // namespace

void StreamVersions::add(const StreamIdentity &stream, const units::SoftwareVersion &version,
                         units::TimePoint now)
{
    if (stream.request.isEmpty() || stream.request.value().size() > MaxIdLength)
        return;
    rotate(now);
    const auto earlier = previous_.find(stream);
    const auto [entry, isNew] = current_.emplace(stream, version);
    const bool contradictsCurrent = !isNew && entry->second != version;
    const bool contradictsPrevious = earlier != previous_.end() && earlier->second != version;
    if (contradictsCurrent || contradictsPrevious)
        entry->second.reset();
}

std::optional<units::SoftwareVersion> StreamVersions::find(const StreamIdentity &stream,
                                                           units::TimePoint now) const
{
    if (now - rotatedAt_ >= 2 * RotationInterval)
        return std::nullopt;
    for (const Versions *versions : {&current_, &previous_}) {
        const auto found = versions->find(stream);
        if (found != versions->end())
            return found->second;
    }
    return std::nullopt;
}

void StreamVersions::rotate(units::TimePoint now)
{
    const units::Duration age = now - rotatedAt_;
    if (age < RotationInterval && current_.size() < MaxStreams)
        return;
    previous_ = std::exchange(current_, {});
    if (age >= 2 * RotationInterval)
        previous_.clear();
    rotatedAt_ = now;
}

} // namespace monsoongrade::routing
