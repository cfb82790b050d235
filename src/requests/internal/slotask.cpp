#include <requests/internal/slotask.h>

namespace monsoongrade::requests::internal {

scheduling::SlotAsk slotAsk(const ClassifiedRequest &request, const units::DaemonId &router)
{
    scheduling::SlotAsk ask;
    ask.request = request.id;
    ask.router = router;
    ask.pool = request.pool.name;
    ask.className = request.classConfig.policy.name;
    ask.workspace = request.workspace;
    ask.prefix = request.prefix;
    // Where the work goes on after the caller has left, it is not done in vain.
    if (request.classConfig.cancelOnDisconnect)
        ask.patience = request.timeout;
    return ask;
}

} // namespace monsoongrade::requests::internal
