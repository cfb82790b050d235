#include <rpc/internal/slotservice.h>

#include <rpc/internal/messages.h>

#include <kj/debug.h>

namespace monsoongrade::rpc::internal {

namespace {

constexpr auto RetryAfterUnknownPool = std::chrono::seconds(2);

} // namespace

SlotService::SlotService(std::shared_ptr<Cells> cells, std::shared_ptr<SlotSessions> sessions,
                         const units::Clock &clock, const units::DaemonId &router)
    : cells_(std::move(cells))
    , sessions_(std::move(sessions))
    , clock_(clock)
    , router_(router)
    , session_(router.value() + "#" + std::to_string(sessions_->nextNumber++))
    , lastHeard_(clock.now())
{
    // The router lost its earlier connection before this side noticed. It reports what it still
    // holds here; counted there too, every such slot would be taken twice.
    SlotService *&current = sessions_->byRouter[router_];
    if (current != nullptr)
        current->end();
    sessions_->byRouter[router_] = this;
}

SlotService::~SlotService()
{
    end();
}

// A call under way holds this object, so each that may wait can be cancelled with its
// connection: otherwise a dead router's waiting ask kept its session, and all slots it held,
// until the lease ran out.
kj::Promise<void> SlotService::ask(AskContext context)
{
    hear();
    context.allowCancellation();
    const scheduling::SlotAsk ask = read(context.getParams().getAsk(), session_);
    return cells_->findOrWait(ask.pool)
        .then([this, ask](Cell *cell) -> kj::Promise<SlotOutcome> {
            failIfEnded();
            if (cells_->isLeaving())
                return SlotOutcome(Moved{});
            if (cell == nullptr)
                return SlotOutcome(scheduling::SlotRefusal{
                    ask.request, units::ResultCode::NoEndpointAvailable, RetryAfterUnknownPool});
            return cell->ask(ask);
        })
        .then([context](const SlotOutcome &outcome) mutable {
            write(context.getResults().initDecision(), outcome);
        });
}

kj::Promise<void> SlotService::release(ReleaseContext context)
{
    hear();
    const auto params = context.getParams();
    if (Cell *cell = cells_->find(units::PoolName(params.getPool())))
        cell->release(session_, read(params.getRelease()));
    return kj::READY_NOW;
}

kj::Promise<void> SlotService::adopt(AdoptContext context)
{
    hear();
    context.allowCancellation();
    return cells_->findOrWait(units::PoolName(context.getParams().getPool()))
        .then([this, context](Cell *cell) mutable {
            const auto held = context.getParams().getHeld();
            auto grants = context.getResults().initGrants(held.size());
            if (cell == nullptr || ended_)
                return;
            for (unsigned i = 0; i < held.size(); ++i) {
                const units::EndpointId endpoint(held[i].getEndpoint());
                grants.set(i, cell->adopt(read(held[i].getAsk(), session_), endpoint).value());
            }
            cell->attach(session_);
        });
}

kj::Promise<void> SlotService::cancel(CancelContext context)
{
    hear();
    const auto params = context.getParams();
    if (Cell *cell = cells_->find(units::PoolName(params.getPool())))
        cell->cancel(session_, units::RequestId(params.getRequest()));
    return kj::READY_NOW;
}

// The first one is answered at once and shows the router that this connection works. Of the
// later ones the last is kept open: it costs nothing while it waits, and its answer reaches the
// router when this side has something to say.
kj::Promise<void> SlotService::ping(PingContext context)
{
    hear();
    answerPing();
    if (cells_->isLeaving() || !pinged_) {
        pinged_ = true;
        context.getResults().setLeaving(cells_->isLeaving());
        return kj::READY_NOW;
    }
    auto pair = kj::newPromiseAndFulfiller<void>();
    openPing_ = kj::mv(pair.fulfiller);
    context.allowCancellation();
    return pair.promise.then([cells = cells_, context]() mutable {
        context.getResults().setLeaving(cells->isLeaving());
    });
}

kj::Promise<void> SlotService::detach(DetachContext context)
{
    hear();
    if (Cell *cell = cells_->find(units::PoolName(context.getParams().getPool())))
        cell->detach(session_);
    return kj::READY_NOW;
}

void SlotService::end()
{
    if (ended_)
        return;
    ended_ = true;
    const auto found = sessions_->byRouter.find(router_);
    if (found != sessions_->byRouter.end() && found->second == this)
        sessions_->byRouter.erase(found);
    cells_->sessionEnded(session_);
    if (openPing_.get() != nullptr)
        openPing_->reject(KJ_EXCEPTION(DISCONNECTED, "the session was ended"));
}

void SlotService::askForSign()
{
    signAskedAt_ = clock_.now();
    answerPing();
}

void SlotService::answerPing()
{
    if (openPing_.get() != nullptr)
        openPing_->fulfill();
    openPing_ = nullptr;
}

void SlotService::hear()
{
    failIfEnded();
    lastHeard_ = clock_.now();
    signAskedAt_.reset();
}

void SlotService::failIfEnded() const
{
    if (ended_)
        kj::throwFatalException(KJ_EXCEPTION(DISCONNECTED, "the session was ended"));
}

} // namespace monsoongrade::rpc::internal
