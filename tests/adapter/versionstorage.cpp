#include "versionstorage.h"

#include <monsoongrade/gateway/versionpersister.h>

#include <platform/versionobjectstore.h>

namespace monsoongrade::platform {

namespace {

struct VersionStorage
{
    VersionStorage(EventLoop &loop, gateway::Gateway &gateway, const asio::ip::tcp::endpoint &store)
        : client(loop.io, loop.timers, gateway.state().log.metrics)
        , objects(client, store)
        , persister(loop.timers, gateway, objects, objects)
    {
        persister.start();
    }

    StoreClient client;
    VersionObjectStore objects;
    gateway::VersionPersister persister;
};

} // namespace

std::shared_ptr<void> startVersionPersister(EventLoop &loop, gateway::Gateway &gateway,
                                            const asio::ip::tcp::endpoint &store)
{
    return std::make_shared<VersionStorage>(loop, gateway, store);
}

} // namespace monsoongrade::platform
