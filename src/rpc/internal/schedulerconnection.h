#ifndef MONSOONGRADE_SRC_RPC_INTERNAL_SCHEDULERCONNECTION_H
#define MONSOONGRADE_SRC_RPC_INTERNAL_SCHEDULERCONNECTION_H

#include <monsoongrade/rpc/rpcslotsource.h>

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <monsoongrade.capnp.h>

#include <functional>
#include <memory>
#include <string>

namespace monsoongrade::rpc::internal {

// One connection to one scheduler, from connecting and hello to its end. On the RPC loop's
// thread only.
class SchedulerConnection
{
public:
    // broken is called at most once, when the peer closes a connection that stood.
    SchedulerConnection(RpcLoop &loop, const RpcSlotSourceSettings &settings,
                        const std::string &address, std::function<void()> broken);
    ~SchedulerConnection();

    // Usable at once: calls wait until hello was answered, and fail if it was refused.
    schema::SlotService::Client slots() { return slots_; }

private:
    // Calls that still wait for the connection keep it from being destroyed with this object;
    // they find it closed.
    struct Transport
    {
        bool closed = false;
        kj::Own<kj::AsyncIoStream> stream;
        kj::Own<capnp::TwoPartyClient> client;
        kj::Maybe<kj::Promise<void>> watch;
    };

    static schema::SlotService::Client connect(RpcLoop &loop, const RpcSlotSourceSettings &settings,
                                               const std::string &address,
                                               std::function<void()> broken,
                                               std::shared_ptr<Transport> transport);

    std::shared_ptr<Transport> transport_ = std::make_shared<Transport>();
    schema::SlotService::Client slots_;
};

} // namespace monsoongrade::rpc::internal

#endif // MONSOONGRADE_SRC_RPC_INTERNAL_SCHEDULERCONNECTION_H
