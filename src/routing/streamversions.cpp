#include <monsoongrade/routing/streamversions.h>

namespace monsoongrade::routing {

namespace {

// A client resumes its stream within its deadline, which is 4 to 15 s after its first attempt.
constexpr auto RotationInterval = std::chrono::seconds(60);
// An entry takes about 200 bytes.
constexpr std::size_t MaxStreams = 16384;

} // namespace

StreamVersions::StreamVersions()
    : streams_(RotationInterval, MaxStreams)
{
}

bool StreamVersions::isRecordable(const StreamIdentity &stream)
{
    return !stream.request.isEmpty() && stream.request.value().size() <= MaxIdLength;
}

void StreamVersions::add(const StreamIdentity &stream, const units::SoftwareVersion &version,
                         units::TimePoint now)
{
    if (!isRecordable(stream))
        return;
    streams_.rotate(now);
    const auto earlier = streams_.previous().find(stream);
    const auto [entry, isNew] = streams_.current().emplace(stream, version);
    const bool contradictsCurrent = !isNew && entry->second != version;
    const bool contradictsPrevious
        = earlier != streams_.previous().end() && earlier->second != version;
    if (contradictsCurrent || contradictsPrevious)
        entry->second.reset();
}

std::optional<units::SoftwareVersion> StreamVersions::find(const StreamIdentity &stream,
                                                           units::TimePoint now) const
{
    if (streams_.isOutdated(now))
        return std::nullopt;
    for (const Versions *versions : {&streams_.current(), &streams_.previous()}) {
        const auto found = versions->find(stream);
        if (found != versions->end())
            return found->second;
    }
    return std::nullopt;
}

} // namespace monsoongrade::routing
