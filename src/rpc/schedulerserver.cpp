#include <monsoongrade/rpc/schedulerserver.h>

#include <rpc/internal/cell.h>
#include <rpc/internal/messages.h>
#include <rpc/internal/peerservice.h>

#include <monsoongrade/observability/log.h>

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <kj/timer.h>

#include <map>

namespace monsoongrade::rpc {

namespace {

using internal::Cell;
using internal::SlotOutcome;
using units::ResultCode;

constexpr auto TickPeriod = 50 * kj::MILLISECONDS;
constexpr auto RetryAfterUnknownPool = std::chrono::seconds(2);

void writeDecision(schema::SlotDecision::Builder out, const SlotOutcome &outcome)
{
    if (const auto *grant = std::get_if<scheduling::SlotGrant>(&outcome)) {
        auto granted = out.initGranted();
        granted.setGrant(grant->id.value());
        granted.setEndpoint(grant->endpoint.value());
        return;
    }
    const auto &refusal = std::get<scheduling::SlotRefusal>(outcome);
    auto refused = out.initRefused();
    refused.setCode(static_cast<int>(refusal.code));
    refused.setRetryAfterMillis(static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(refusal.retryAfter).count()));
}

// All cells of this scheduler. On the RPC loop's thread only.
class Cells
{
public:
    Cells(const units::Clock &clock, observability::Metrics &metrics)
        : clock_(clock)
        , metrics_(metrics)
    {
    }

    void apply(configuration::ConfigurationHolder::Snapshot configuration,
               membership::FleetHolder::Snapshot fleet)
    {
        if (!configuration)
            return;
        for (const auto &entry : configuration->pools) {
            auto &cell = cells_[entry.first];
            if (!cell)
                cell = std::make_unique<Cell>(entry.first, clock_, metrics_);
            cell->configure(*configuration);
            cell->applyFleet(*configuration, *fleet);
        }
    }

    Cell *find(const units::PoolName &pool)
    {
        const auto found = cells_.find(pool);
        return found == cells_.end() ? nullptr : found->second.get();
    }

    void tick()
    {
        for (auto &entry : cells_)
            entry.second->tick();
    }

    void routerLost(const units::DaemonId &router)
    {
        for (auto &entry : cells_)
            entry.second->scheduler().routerLost(router);
    }

private:
    const units::Clock &clock_;
    observability::Metrics &metrics_;
    std::map<units::PoolName, std::unique_ptr<Cell>> cells_;
};

// The slots of one router's connection.
class SlotServiceImpl final : public schema::SlotService::Server
{
public:
    SlotServiceImpl(std::shared_ptr<Cells> cells, units::DaemonId router)
        : cells_(std::move(cells))
        , router_(std::move(router))
    {
    }

    // The connection is gone: a dead router releases nothing any more, and its slots would stay
    // taken for ever.
    ~SlotServiceImpl() { cells_->routerLost(router_); }

    kj::Promise<void> ask(AskContext context) override
    {
        const scheduling::SlotAsk ask = internal::read(context.getParams().getAsk(), router_);
        Cell *cell = cells_->find(ask.pool);
        if (cell == nullptr) {
            writeDecision(context.getResults().initDecision(),
                          scheduling::SlotRefusal{ask.request, ResultCode::NoEndpointAvailable,
                                                  RetryAfterUnknownPool});
            return kj::READY_NOW;
        }
        return cell->ask(ask).then([context](SlotOutcome outcome) mutable {
            writeDecision(context.getResults().initDecision(), outcome);
        });
    }

    kj::Promise<void> release(ReleaseContext context) override
    {
        const auto params = context.getParams();
        if (Cell *cell = cells_->find(units::PoolName(params.getPool())))
            cell->scheduler().release(internal::read(params.getRelease()));
        return kj::READY_NOW;
    }

    kj::Promise<void> cancel(CancelContext context) override
    {
        const auto params = context.getParams();
        if (Cell *cell = cells_->find(units::PoolName(params.getPool())))
            cell->cancel(units::RequestId(params.getRequest()));
        return kj::READY_NOW;
    }

    kj::Promise<void> adopt(AdoptContext context) override
    {
        const auto held = context.getParams().getHeld();
        auto grants = context.getResults().initGrants(held.size());
        for (unsigned i = 0; i < held.size(); ++i) {
            const scheduling::SlotAsk ask = internal::read(held[i].getAsk(), router_);
            Cell *cell = cells_->find(ask.pool);
            if (cell == nullptr)
                continue;
            const units::EndpointId endpoint(held[i].getEndpoint());
            grants.set(i, cell->scheduler().adopt(ask, endpoint).value());
        }
        return kj::READY_NOW;
    }

private:
    std::shared_ptr<Cells> cells_;
    units::DaemonId router_;
};

class DaemonImpl final : public schema::Daemon::Server
{
public:
    DaemonImpl(SchedulerServerSettings settings, std::shared_ptr<Cells> cells)
        : settings_(std::move(settings))
        , cells_(std::move(cells))
    {
    }

    kj::Promise<void> hello(HelloContext context) override
    {
        const auto params = context.getParams();
        auto result = context.getResults().initResult();
        if (units::ClusterName(params.getCluster()) != settings_.cluster) {
            result.setCode(static_cast<int>(ResultCode::ForeignCluster));
            return kj::READY_NOW;
        }
        if (params.getVersion() != schema::PROTOCOL_VERSION) {
            result.setCode(static_cast<int>(ResultCode::ProtocolVersionMismatch));
            return kj::READY_NOW;
        }
        result.setIncarnation(settings_.self.value());
        if (settings_.peers != nullptr)
            result.setPeer(internal::peerService(*settings_.peers));
        result.setSlots(kj::heap<SlotServiceImpl>(cells_, units::DaemonId(params.getDaemon())));
        return kj::READY_NOW;
    }

private:
    SchedulerServerSettings settings_;
    std::shared_ptr<Cells> cells_;
};

} // namespace

class SchedulerServer::Impl : private kj::TaskSet::ErrorHandler,
                              public std::enable_shared_from_this<SchedulerServer::Impl>
{
public:
    Impl(RpcLoop &loop, const units::Clock &clock, const SchedulerServerSettings &settings,
         configuration::ConfigurationHolder &configuration, membership::FleetHolder &fleet,
         observability::Metrics &metrics)
        : loop_(loop)
        , configuration_(configuration)
        , fleet_(fleet)
        , cells_(std::make_shared<Cells>(clock, metrics))
        , tasks_(*this)
        , server_(kj::heap<DaemonImpl>(settings, cells_))
    {
        auto address = loop.io().getNetwork().parseAddress(settings.address, settings.port);
        tasks_.add(address.then([this](kj::Own<kj::NetworkAddress> parsed) {
            receiver_ = parsed->listen();
            return server_.listen(*receiver_);
        }));
        applyAll();
        tick();
    }

    void applyAll() { cells_->apply(configuration_.current(), fleet_.current()); }

private:
    void tick()
    {
        cells_->tick();
        tasks_.add(loop_.timer().afterDelay(TickPeriod).then([this] { tick(); }));
    }

    void taskFailed(kj::Exception &&exception) override
    {
        observability::log(observability::LogLevel::Error, "rpc-task-failed",
                           {{"message", exception.getDescription().cStr()}});
    }

    RpcLoop &loop_;
    configuration::ConfigurationHolder &configuration_;
    membership::FleetHolder &fleet_;
    std::shared_ptr<Cells> cells_;
    kj::TaskSet tasks_;
    kj::Own<kj::ConnectionReceiver> receiver_;
    capnp::TwoPartyServer server_;
};

SchedulerServer::SchedulerServer(RpcLoop &loop, const units::Clock &clock,
                                 const SchedulerServerSettings &settings,
                                 configuration::ConfigurationHolder &configuration,
                                 membership::FleetHolder &fleet, observability::Metrics &metrics)
    : loop_(loop)
{
    loop_.postAndWait([&] {
        impl_ = std::make_shared<Impl>(loop, clock, settings, configuration, fleet, metrics);
    });
    const auto reapply = [this, weak = std::weak_ptr<Impl>(impl_)](const auto &) {
        loop_.post([weak] {
            if (const auto impl = weak.lock())
                impl->applyAll();
        });
    };
    configuration.addListener(reapply);
    fleet.addListener(reapply);
}

SchedulerServer::~SchedulerServer()
{
    loop_.postAndWait([&] { impl_.reset(); });
}

} // namespace monsoongrade::rpc
