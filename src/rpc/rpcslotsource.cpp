#include <monsoongrade/rpc/rpcslotsource.h>

#include <rpc/internal/slotclient.h>

namespace monsoongrade::rpc {

namespace {

// What is posted may run after the source is gone; it then finds nothing to do.
template <typename Function>
void postTo(RpcLoop &loop, const std::shared_ptr<internal::SlotClient> &client, Function function)
{
    loop.post([weak = std::weak_ptr<internal::SlotClient>(client), function = std::move(function)] {
        if (const auto alive = weak.lock())
            function(*alive);
    });
}

} // namespace

RpcSlotSource::RpcSlotSource(RpcLoop &loop, const RpcSlotSourceSettings &settings,
                             membership::FleetHolder &fleet, observability::Metrics &metrics)
    : loop_(loop)
{
    loop_.postAndWait(
        [&] { client_ = std::make_shared<internal::SlotClient>(loop, settings, fleet, metrics); });
    fleet.addListener([&loop, weak = std::weak_ptr<internal::SlotClient>(client_)](const auto &) {
        loop.post([weak] {
            if (const auto alive = weak.lock())
                alive->fleetChanged();
        });
    });
}

RpcSlotSource::~RpcSlotSource()
{
    loop_.postAndWait([&] { client_.reset(); });
}

void RpcSlotSource::ask(const scheduling::SlotAsk &ask,
                        std::shared_ptr<scheduling::SlotListener> listener)
{
    postTo(loop_, client_, [ask, listener = std::move(listener)](internal::SlotClient &client) {
        client.ask(ask, listener);
    });
}

void RpcSlotSource::cancel(const scheduling::SlotAsk &ask)
{
    postTo(loop_, client_, [ask](internal::SlotClient &client) { client.cancel(ask); });
}

void RpcSlotSource::release(const scheduling::SlotGrant &grant,
                            const scheduling::SlotRelease &release)
{
    postTo(loop_, client_, [request = grant.request, release](internal::SlotClient &client) {
        client.release(request, release);
    });
}

} // namespace monsoongrade::rpc
