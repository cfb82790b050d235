#include <monsoongrade/routing/streamversionreport.h>

namespace monsoongrade::routing {

std::optional<units::SoftwareVersion>
versionToResumeAt(const std::vector<StreamVersionReport> &reports)
{
    std::optional<units::SoftwareVersion> ofStream;
    std::optional<units::SoftwareVersion> ofPool;
    bool hasSeveralVersions = false;
    for (const StreamVersionReport &report : reports) {
        if (report.version && ofStream && *ofStream != *report.version)
            return std::nullopt;
        if (report.version)
            ofStream = report.version;
        if (report.history.kind == PoolVersionHistory::Kind::Unknown)
            continue;
        const bool isOther = ofPool && *ofPool != report.history.version;
        if (isOther || report.history.kind == PoolVersionHistory::Kind::SeveralVersions)
            hasSeveralVersions = true;
        ofPool = report.history.version;
    }
    if (ofStream)
        return ofStream;
    return hasSeveralVersions ? std::nullopt : ofPool;
}

} // namespace monsoongrade::routing
