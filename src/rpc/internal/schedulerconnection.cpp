#include <rpc/internal/schedulerconnection.h>

namespace monsoongrade::rpc::internal {

SchedulerConnection::SchedulerConnection(RpcLoop &loop, const RpcSlotSourceSettings &settings,
                                         const std::string &address)
    : slots_(connect(loop, settings, address))
{
}

schema::SlotService::Client SchedulerConnection::connect(RpcLoop &loop,
                                                         const RpcSlotSourceSettings &settings,
                                                         const std::string &address)
{
    auto parsed = loop.io().getNetwork().parseAddress(address, settings.schedulerPort);
    return parsed
        .then([](kj::Own<kj::NetworkAddress> target) {
            return target->connect().attach(kj::mv(target));
        })
        .then([this, settings](kj::Own<kj::AsyncIoStream> stream) -> schema::SlotService::Client {
            transport_ = kj::heap<Transport>(kj::mv(stream));
            auto daemon = transport_->client.bootstrap().castAs<schema::Daemon>();
            auto hello = daemon.helloRequest();
            hello.setCluster(settings.cluster.value());
            hello.setVersion(schema::PROTOCOL_VERSION);
            hello.setDaemon(settings.self.value());
            return hello.send().getResult().getSlots();
        });
}

} // namespace monsoongrade::rpc::internal
