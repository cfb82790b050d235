#ifndef MONSOONGRADE_ROUTING_STREAMVERSIONREPORT_H
#define MONSOONGRADE_ROUTING_STREAMVERSIONREPORT_H

#include <monsoongrade/routing/poolversions.h>

#include <optional>
#include <vector>

namespace monsoongrade::routing {

// What one host knows of a stream that its client wants to resume.
struct StreamVersionReport
{
    std::optional<units::SoftwareVersion> version; // at which it began; empty: not known
    PoolVersionHistory history; // of the pool that serves it
};

// The software version at which the stream may go on, from the reports of several hosts; empty if
// that is not certain. A stream that no host knows may go on only if one of them knows that the
// pool has had one version for as long as streams are resumed, and none knows of another version.
std::optional<units::SoftwareVersion>
versionToResumeAt(const std::vector<StreamVersionReport> &reports);

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_STREAMVERSIONREPORT_H
