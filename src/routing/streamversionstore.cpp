#include <monsoongrade/routing/streamversionstore.h>

#include <monsoongrade/units/stablehash.h>

#include <algorithm>

namespace monsoongrade::routing {

StreamDigest digestOf(const StreamIdentity &stream)
{
    units::StableHash hash;
    hash.add(stream.workspace.value());
    // Distinguishes "ab", "c" from "a", "bc".
    hash.add(std::uint64_t(stream.workspace.value().size()));
    hash.add(stream.request.value());
    return StreamDigest(hash.spread());
}

std::optional<units::SoftwareVersion> versionIn(const AllStoredStreamBatches &batches,
                                                StreamDigest stream)
{
    std::optional<units::SoftwareVersion> result;
    for (const auto &[name, batch] : batches) {
        for (const auto &[version, streams] : batch.streams) {
            if (std::find(streams.begin(), streams.end(), stream) == streams.end())
                continue;
            if (result && *result != version)
                return std::nullopt;
            result = version;
        }
    }
    return result;
}

} // namespace monsoongrade::routing
