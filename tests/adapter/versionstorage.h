#ifndef MONSOONGRADE_TESTS_ADAPTER_VERSIONSTORAGE_H
#define MONSOONGRADE_TESTS_ADAPTER_VERSIONSTORAGE_H

#include "eventloop.h"

#include <monsoongrade/gateway/gateway.h>

#include <memory>

namespace monsoongrade::platform {

// Starts what keeps the gateway's software versions in the store. Returns its owner.
std::shared_ptr<void> startVersionPersister(EventLoop &loop, gateway::Gateway &gateway,
                                            const asio::ip::tcp::endpoint &store);

} // namespace monsoongrade::platform

#endif // MONSOONGRADE_TESTS_ADAPTER_VERSIONSTORAGE_H
