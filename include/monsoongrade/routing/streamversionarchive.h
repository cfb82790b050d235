#ifndef MONSOONGRADE_ROUTING_STREAMVERSIONARCHIVE_H
#define MONSOONGRADE_ROUTING_STREAMVERSIONARCHIVE_H

#include <monsoongrade/routing/generations.h>
#include <monsoongrade/routing/streamversionstore.h>
#include <monsoongrade/units/clock.h>

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace monsoongrade::routing {

// Collects the versions at which streams began and saves them in batches, in a ring of objects of
// which the oldest is overwritten: bounded calls and bytes, whatever the number of streams.
class StreamVersionArchive
{
public:
    // Hosts that save batches, each in a ring of its own.
    static constexpr std::size_t Rings = 2;
    static constexpr auto WriteInterval = std::chrono::milliseconds(200);
    // At one object per interval, longer than streams are resumed.
    static constexpr std::size_t ObjectsPerRing = 128;
    // An entry takes 19 bytes.
    static constexpr std::size_t MaxStreamsPerObject = 250;

    struct Step
    {
        bool mustRead = false; // before anything can be written
        std::optional<std::pair<std::string, StoredStreamBatch>> write;
    };

    StreamVersionArchive();

    // A stream that was added lately is ignored: hosts may be told of it twice. Streams beyond
    // those of four objects are not saved.
    void add(StreamDigest stream, const units::SoftwareVersion &version, units::TimePoint now);
    // ring: that of this host; nullopt: it saves none.
    Step next(std::optional<std::size_t> ring, units::TimePoint now);
    void onRead(const AllStoredStreamBatches &stored);
    void onWritten(const std::string &name, Revision revision) { revisions_[name] = revision; }
    // The batch is saved again in another step.
    void onWriteFailed(const StoredStreamBatch &batch);

private:
    void addUnsaved(StreamDigest stream, const units::SoftwareVersion &version);
    std::string oldestObject(std::size_t ring) const;

    std::vector<std::pair<StreamDigest, units::SoftwareVersion>> unsaved_;
    Generations<std::set<std::pair<StreamDigest, units::SoftwareVersion>>> added_;
    std::map<std::string, Revision> revisions_;
    bool areRevisionsKnown_ = false;
    units::TimePoint nextWriteAt_;
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_STREAMVERSIONARCHIVE_H
