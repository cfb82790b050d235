#ifndef MONSOONGRADE_ROUTING_STREAMVERSIONSTORE_H
#define MONSOONGRADE_ROUTING_STREAMVERSIONSTORE_H

#include <monsoongrade/routing/revision.h>
#include <monsoongrade/routing/streamidentity.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace monsoongrade::routing {

// Hash of a stream's identity.
using StreamDigest = units::StrongNumber<struct StreamDigestTag, std::uint64_t>;

StreamDigest digestOf(const StreamIdentity &stream);

// Streams that began at about the same time, by software version, as stored in one object.
struct StoredStreamBatch
{
    std::map<units::SoftwareVersion, std::vector<StreamDigest>> streams;
    Revision revision; // 0: not stored yet
};

using AllStoredStreamBatches = std::map<std::string, StoredStreamBatch>; // by object name

// The version at which the stream began; empty if no batch has it, or they differ.
std::optional<units::SoftwareVersion> versionIn(const AllStoredStreamBatches &batches,
                                                StreamDigest stream);

// Storage of the versions at which streams began that survives a restart of all hosts. Used only
// for pools whose endpoints have several versions.
class StreamVersionStore
{
public:
    // nullopt if they could not be read.
    using Read = std::function<void(std::optional<AllStoredStreamBatches>)>;
    // The new revision; nullopt if the write failed or its outcome is not known.
    using Written = std::function<void(std::optional<Revision>)>;

    enum class Age {
        Latest, // as of a time after the call
        MayBeStale, // costs a tenth, may lack the last seconds
    };

    virtual ~StreamVersionStore() = default;
    virtual void readStreams(Age age, Read read) = 0;
    // Replaces the object if it still has the batch's revision.
    virtual void writeStreams(const std::string &name, const StoredStreamBatch &batch,
                              Written written)
        = 0;
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_STREAMVERSIONSTORE_H
