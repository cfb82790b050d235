#include <monsoongrade/routing/streamversionarchive.h>

#include <algorithm>

namespace monsoongrade::routing {

namespace {

constexpr auto RepeatTime = std::chrono::seconds(2);
constexpr std::size_t MaxUnsaved = 4 * StreamVersionArchive::MaxStreamsPerObject;

std::string nameOf(std::size_t ring, std::size_t object)
{
    return std::to_string(ring) + "-" + std::to_string(object);
}

} // namespace

StreamVersionArchive::StreamVersionArchive()
    : added_(RepeatTime, MaxUnsaved)
{
}

void StreamVersionArchive::add(StreamDigest stream, const units::SoftwareVersion &version,
                               units::TimePoint now)
{
    added_.rotate(now);
    const auto entry = std::pair(stream, version);
    if (added_.previous().count(entry) == 0 && added_.current().insert(entry).second)
        addUnsaved(stream, version);
}

void StreamVersionArchive::addUnsaved(StreamDigest stream, const units::SoftwareVersion &version)
{
    if (unsaved_.size() < MaxUnsaved)
        unsaved_.emplace_back(stream, version);
}

StreamVersionArchive::Step StreamVersionArchive::next(std::optional<std::size_t> ring,
                                                      units::TimePoint now)
{
    Step step;
    if (!ring) {
        unsaved_.clear();
        areRevisionsKnown_ = false;
    }
    if (unsaved_.empty() || now < nextWriteAt_)
        return step;
    // Hosts may have written to this ring before.
    step.mustRead = !areRevisionsKnown_;
    if (step.mustRead)
        return step;
    nextWriteAt_ = now + WriteInterval;
    StoredStreamBatch batch;
    const std::size_t count = std::min(unsaved_.size(), MaxStreamsPerObject);
    const auto end = unsaved_.begin() + std::ptrdiff_t(count);
    for (auto each = unsaved_.begin(); each != end; ++each)
        batch.streams[each->second].push_back(each->first);
    unsaved_.erase(unsaved_.begin(), end);
    std::string name = oldestObject(*ring);
    if (const auto known = revisions_.find(name); known != revisions_.end())
        batch.revision = known->second;
    step.write.emplace(std::move(name), std::move(batch));
    return step;
}

void StreamVersionArchive::onRead(const AllStoredStreamBatches &stored)
{
    revisions_.clear();
    for (const auto &[name, batch] : stored)
        revisions_[name] = batch.revision;
    areRevisionsKnown_ = true;
}

void StreamVersionArchive::onWriteFailed(const StoredStreamBatch &batch)
{
    areRevisionsKnown_ = false;
    for (const auto &[version, streams] : batch.streams) {
        for (const StreamDigest stream : streams)
            addUnsaved(stream, version);
    }
}

std::string StreamVersionArchive::oldestObject(std::size_t ring) const
{
    std::string oldest;
    Revision oldestRevision;
    for (std::size_t object = 0; object < ObjectsPerRing; ++object) {
        std::string name = nameOf(ring, object);
        const auto found = revisions_.find(name);
        if (found == revisions_.end())
            return name;
        if (oldest.empty() || found->second < oldestRevision) {
            oldest = std::move(name);
            oldestRevision = found->second;
        }
    }
    return oldest;
}

} // namespace monsoongrade::routing
