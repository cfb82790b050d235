#ifndef MONSOONGRADE_SRC_RPC_INTERNAL_SCHEDULERCONNECTION_H
#define MONSOONGRADE_SRC_RPC_INTERNAL_SCHEDULERCONNECTION_H

#include <monsoongrade/rpc/rpcslotsource.h>

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <monsoongrade.capnp.h>

#include <optional>
#include <string>

namespace monsoongrade::rpc::internal {

// One connection to one scheduler, from connecting and hello to its end. On the RPC loop's
// thread only.
class SchedulerConnection
{
public:
    SchedulerConnection(RpcLoop &loop, const RpcSlotSourceSettings &settings,
                        const std::string &address);

    // Usable at once: calls wait until hello was answered, and fail if it was refused.
    schema::SlotService::Client slots() { return slots_; }

private:
    struct Transport
    {
        explicit Transport(kj::Own<kj::AsyncIoStream> stream)
            : stream(kj::mv(stream))
            , client(*this->stream)
        {
        }
        kj::Own<kj::AsyncIoStream> stream;
        capnp::TwoPartyClient client;
    };

    schema::SlotService::Client connect(RpcLoop &loop, const RpcSlotSourceSettings &settings,
                                        const std::string &address);

    kj::Own<Transport> transport_;
    schema::SlotService::Client slots_;
};

} // namespace monsoongrade::rpc::internal

#endif // MONSOONGRADE_SRC_RPC_INTERNAL_SCHEDULERCONNECTION_H
