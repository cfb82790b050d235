#include <monsoongrade/routing/streamversionreport.h>

#include <algorithm>

namespace monsoongrade::routing {

namespace {

bool mayHaveOtherVersion(const PoolVersionHistory &history, const units::SoftwareVersion &version)
{
    switch (history.kind) {
    case PoolVersionHistory::Kind::SeveralVersions:
        return true;
    case PoolVersionHistory::Kind::OneVersion:
        return history.version != version;
    case PoolVersionHistory::Kind::Unknown:
        return !history.version.isEmpty() && history.version != version;
    }
    return true;
}

} // namespace

bool isKnown(const std::vector<StreamVersionReport> &reports)
{
    return std::any_of(reports.begin(), reports.end(),
                       [](const auto &report) { return report.version.has_value(); });
}

std::optional<units::SoftwareVersion>
versionToResumeAt(const std::vector<StreamVersionReport> &reports)
{
    std::optional<units::SoftwareVersion> ofStream;
    for (const StreamVersionReport &report : reports) {
        if (report.version && ofStream && *ofStream != *report.version)
            return std::nullopt;
        if (report.version)
            ofStream = report.version;
    }
    return ofStream;
}

std::optional<units::SoftwareVersion>
versionToResumeAt(const std::vector<StreamVersionReport> &reports,
                  const StoredStreamVersion &stored)
{
    if (isKnown(reports))
        return versionToResumeAt(reports);
    if (stored.version)
        return stored.version;
    if (stored.ofPool.size() != 1)
        return std::nullopt;
    const units::SoftwareVersion &only = *stored.ofPool.begin();
    const bool isContradicted
        = std::any_of(reports.begin(), reports.end(), [&](const StreamVersionReport &report) {
              return mayHaveOtherVersion(report.history, only);
          });
    return isContradicted ? std::nullopt : std::optional(only);
}

} // namespace monsoongrade::routing
