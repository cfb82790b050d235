#include <rpc/internal/schedulerconnection.h>

#include <kj/debug.h>

namespace monsoongrade::rpc::internal {

SchedulerConnection::SchedulerConnection(RpcLoop &loop, const RpcSlotSourceSettings &settings,
                                         const std::string &address, std::function<void()> broken)
    : slots_(connect(loop, settings, address, std::move(broken), transport_))
{
}

SchedulerConnection::~SchedulerConnection()
{
    transport_->closed = true;
    transport_->watch = nullptr;
    transport_->client = nullptr;
    transport_->stream = nullptr;
}

schema::SlotService::Client SchedulerConnection::connect(RpcLoop &loop,
                                                         const RpcSlotSourceSettings &settings,
                                                         const std::string &address,
                                                         std::function<void()> broken,
                                                         std::shared_ptr<Transport> transport)
{
    // An address that does not parse throws at once; it must fail the calls, not the process.
    auto parsed = kj::evalNow(
        [&] { return loop.io().getNetwork().parseAddress(address, settings.schedulerPort); });
    return parsed
        .then([](kj::Own<kj::NetworkAddress> target) {
            auto connected = target->connect();
            return connected.attach(kj::mv(target));
        })
        .then([settings, transport, broken = std::move(broken)](
                  kj::Own<kj::AsyncIoStream> stream) -> schema::SlotService::Client {
            if (transport->closed)
                kj::throwFatalException(KJ_EXCEPTION(DISCONNECTED, "the connection was given up"));
            transport->stream = kj::mv(stream);
            transport->client = kj::heap<capnp::TwoPartyClient>(*transport->stream);
            transport->watch = transport->client->onDisconnect()
                                   .then([broken] { broken(); })
                                   .eagerlyEvaluate(nullptr);
            auto daemon = transport->client->bootstrap().castAs<schema::Daemon>();
            auto hello = daemon.helloRequest();
            hello.setCluster(settings.cluster.value());
            hello.setVersion(schema::PROTOCOL_VERSION);
            hello.setDaemon(settings.self.value());
            return hello.send().then([](auto response) -> schema::SlotService::Client {
                const auto result = response.getResult();
                if (result.getCode() != 0)
                    kj::throwFatalException(
                        KJ_EXCEPTION(FAILED, "hello was refused", result.getCode()));
                return result.getSlots();
            });
        });
}

} // namespace monsoongrade::rpc::internal
