#ifndef MONSOONGRADE_ROUTING_ADMISSION_H
#define MONSOONGRADE_ROUTING_ADMISSION_H

#include <monsoongrade/routing/requestmetadata.h>
#include <monsoongrade/routing/routetable.h>
#include <monsoongrade/units/resultcode.h>

namespace monsoongrade::routing {

// Result of checking a request against the configuration.
struct Admission
{
    units::ResultCode code = units::ResultCode::Ok;
    const Route *route = nullptr; // set if code is Ok
    units::WorkspaceName workspace; // empty on public routes
    units::Tier tier;
};

// Looks up the route and the API key of a request. table is null until a configuration has arrived.
// isFresh: the configuration is recent enough to trust its keys. Otherwise all but public routes
// are refused with a retryable code, never as unknown: a route or key may be missing only in this
// host's outdated copy.
Admission admit(const RouteTable *table, bool isFresh, const RequestMetadata &metadata,
                std::string_view target);

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_ADMISSION_H
