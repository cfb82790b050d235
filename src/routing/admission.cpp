#include <monsoongrade/routing/admission.h>

namespace monsoongrade::routing {

namespace {

Admission refused(units::ResultCode code)
{
    Admission admission;
    admission.code = code;
    return admission;
}

} // namespace

Admission admit(const RouteTable *table, bool isFresh, const RequestMetadata &metadata,
                std::string_view target)
{
    if (table == nullptr)
        return refused(units::ResultCode::NoConfiguration);
    const Route *route = table->find(metadata.host, target);
    const bool needsKey = table->hasKeys() && (route == nullptr || !route->isPublic);
    if (needsKey && !isFresh)
        return refused(units::ResultCode::ConfigurationTooOld);
    if (route == nullptr)
        return refused(units::ResultCode::NoRouteForRequest);
    Admission admission;
    admission.route = route;
    admission.tier = table->tierOf(*route, nullptr);
    if (!needsKey)
        return admission;
    const WorkspaceKeys *workspace
        = metadata.key.empty() ? nullptr : table->workspaceOf(metadata.key);
    if (workspace == nullptr)
        return refused(units::ResultCode::UnknownKey);
    admission.workspace = workspace->name;
    admission.tier = table->tierOf(*route, workspace);
    return admission;
}

} // namespace monsoongrade::routing
