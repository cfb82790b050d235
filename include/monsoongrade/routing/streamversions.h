#ifndef MONSOONGRADE_ROUTING_STREAMVERSIONS_H
#define MONSOONGRADE_ROUTING_STREAMVERSIONS_H

#include <monsoongrade/routing/generations.h>
#include <monsoongrade/routing/streamidentity.h>
#include <monsoongrade/units/clock.h>

#include <cstddef>
#include <map>
#include <optional>

namespace monsoongrade::routing {

// The software versions at which streams began, in bounded memory: an entry is kept for one to two
// minutes, and less long when there are very many. A stream goes on at its version only.
class StreamVersions
{
public:
    // Clients choose the ids; longer ones are not recorded.
    static constexpr std::size_t MaxIdLength = 128;

    StreamVersions();

    // Whether the client gave an id by which it can resume the stream.
    static bool isRecordable(const StreamIdentity &stream);

    // The stream's first event came from an endpoint of this version. If the same identity is
    // recorded with two versions, neither is returned from then on.
    void add(const StreamIdentity &stream, const units::SoftwareVersion &version,
             units::TimePoint now);
    // Empty if the version is not known, or ambiguous.
    std::optional<units::SoftwareVersion> find(const StreamIdentity &stream,
                                               units::TimePoint now) const;
    std::size_t size() const { return streams_.current().size() + streams_.previous().size(); }

private:
    // Empty for an ambiguous identity.
    using Versions = std::map<StreamIdentity, std::optional<units::SoftwareVersion>>;

    Generations<Versions> streams_;
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_STREAMVERSIONS_H
