#ifndef MONSOONGRADE_ROUTING_STREAMVERSIONREPORT_H
#define MONSOONGRADE_ROUTING_STREAMVERSIONREPORT_H

#include <monsoongrade/routing/poolversions.h>

#include <optional>
#include <set>
#include <vector>

namespace monsoongrade::routing {

// What one host knows of a stream that its client wants to resume.
struct StreamVersionReport
{
    std::optional<units::SoftwareVersion> version; // at which it began; empty: not known
    PoolVersionHistory history; // of the pool that serves it
};

// What the store holds about a stream and its pool, as of a time after the client resumed it.
struct StoredStreamVersion
{
    std::optional<units::SoftwareVersion> version; // at which it began; empty: not known
    // Versions of the pool whose streams may still be resumed; empty: not known.
    std::set<units::SoftwareVersion> ofPool;
};

// Whether any host knows the stream, so that the store can add nothing.
bool isKnown(const std::vector<StreamVersionReport> &reports);
// The software version at which the stream may go on, from the records of several hosts; empty if
// none has one, or they differ.
std::optional<units::SoftwareVersion>
versionToResumeAt(const std::vector<StreamVersionReport> &reports);
// The same for a stream that no host knows: its version in the store, or the only version of its
// pool there. Empty if a host has seen another version in the pool: the store may be late.
std::optional<units::SoftwareVersion>
versionToResumeAt(const std::vector<StreamVersionReport> &reports,
                  const StoredStreamVersion &stored);

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_STREAMVERSIONREPORT_H
