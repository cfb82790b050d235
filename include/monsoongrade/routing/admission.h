#ifndef MONSOONGRADE_ROUTING_ADMISSION_H
#define MONSOONGRADE_ROUTING_ADMISSION_H

#include <monsoongrade/routing/requestmetadata.h>
#include <monsoongrade/routing/routetable.h>
#include <monsoongrade/units/resultcode.h>

namespace monsoongrade::routing {

// Whether the configuration allows a request, and with which rights.
struct Admission
{
    units::ResultCode code = units::ResultCode::Ok;
    const Route *route = nullptr; // set if code is Ok
    units::WorkspaceName workspace; // empty on public routes
    units::Tier tier;
};

// Looks up route and key. table may be null: no configuration has arrived. isFresh: the
// configuration is provably young enough to trust its keys. Without that, all but public routes
// are refused as "come back later", never as unknown: a missing route or key may only be missing
// here.
Admission admit(const RouteTable *table, bool isFresh, const RequestMetadata &facts,
                std::string_view target);

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_ADMISSION_H
