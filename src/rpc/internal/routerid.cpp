#include <rpc/internal/routerid.h>

namespace monsoongrade::rpc::internal {

bool isRouterOf(const units::HostName &host, const units::DaemonId &router)
{
    const std::string start = host.value() + ".router.";
    return router.value().compare(0, start.size(), start) == 0;
}

} // namespace monsoongrade::rpc::internal
