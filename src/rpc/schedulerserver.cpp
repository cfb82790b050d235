#include <monsoongrade/rpc/schedulerserver.h>

#include <rpc/internal/peerservice.h>
#include <rpc/internal/routerid.h>
#include <rpc/internal/slotservice.h>

#include <monsoongrade/observability/log.h>

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <kj/timer.h>

#include <algorithm>
#include <future>
#include <stdexcept>
#include <vector>

namespace monsoongrade::rpc {

namespace {

using internal::Cells;
using internal::SlotSessions;
using units::ResultCode;

constexpr auto TickPeriod = 50 * kj::MILLISECONDS;

bool isSuspected(const membership::FleetView &fleet, const units::DaemonId &router)
{
    return std::any_of(fleet.entryHosts.begin(), fleet.entryHosts.end(), [&](const auto &member) {
        return member.suspected && internal::isRouterOf(member.host, router);
    });
}

class DaemonImpl final : public schema::Daemon::Server
{
public:
    DaemonImpl(SchedulerServerSettings settings, std::shared_ptr<Cells> cells,
               std::shared_ptr<SlotSessions> sessions, const units::Clock &clock)
        : settings_(std::move(settings))
        , cells_(std::move(cells))
        , sessions_(std::move(sessions))
        , clock_(clock)
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
        result.setSlots(kj::heap<internal::SlotService>(cells_, sessions_, clock_,
                                                        units::DaemonId(params.getDaemon())));
        return kj::READY_NOW;
    }

private:
    SchedulerServerSettings settings_;
    std::shared_ptr<Cells> cells_;
    std::shared_ptr<SlotSessions> sessions_;
    const units::Clock &clock_;
};

} // namespace

class SchedulerServer::Impl : private kj::TaskSet::ErrorHandler
{
public:
    Impl(RpcLoop &loop, const units::Clock &clock, const SchedulerServerSettings &settings,
         configuration::ConfigurationHolder &configuration, membership::FleetHolder &fleet,
         observability::Metrics &metrics)
        : loop_(loop)
        , clock_(clock)
        , lease_(settings.lease)
        , answerLimit_(settings.answerLimit)
        , configuration_(configuration)
        , fleet_(fleet)
        , metrics_(metrics)
        , cells_(std::make_shared<Cells>(clock, metrics, settings.settlingTime,
                                         settings.unknownPoolWait))
        , sessions_(std::make_shared<SlotSessions>())
        , server_(kj::heap<DaemonImpl>(settings, cells_, sessions_, clock))
        , tasks_(*this)
    {
        lastTick_ = clock.now();
        applyAll();
        tick();
    }

    // Fulfils the promise with the port once it listens, or with the error.
    void listen(const std::string &address, std::uint16_t port, std::promise<std::uint16_t> &done)
    {
        auto parsed
            = kj::evalNow([&] { return loop_.io().getNetwork().parseAddress(address, port); });
        tasks_.add(parsed
                       .then([this, &done](kj::Own<kj::NetworkAddress> target) {
                           receiver_ = target->listen();
                           done.set_value(static_cast<std::uint16_t>(receiver_->getPort()));
                           tasks_.add(server_.listen(*receiver_));
                       })
                       .catch_([&done](kj::Exception &&error) {
                           done.set_exception(std::make_exception_ptr(
                               std::runtime_error(error.getDescription().cStr())));
                       }));
    }

    void applyAll() { cells_->apply(configuration_.current(), fleet_.current()); }
    void startLeaving()
    {
        cells_->startLeaving();
        for (const auto &entry : sessions_->byRouter)
            entry.second->answerPing();
    }

    std::size_t routersUsing() const
    {
        std::size_t count = 0;
        for (const auto &entry : sessions_->byRouter)
            count += entry.second->isUsed() ? 1 : 0;
        return count;
    }

private:
    void tick()
    {
        cells_->tick();
        endSilentSessions();
        tasks_.add(loop_.timer().afterDelay(TickPeriod).then([this] { tick(); }));
    }

    // A router that was cut off or frozen closes no connection, and its slots would stay taken.
    // One that only holds slots has nothing to say, so silence alone means nothing: it is asked
    // for a sign of life, where it matters, and loses its session without one. Times are
    // measured against ticks of this process: after a pause of its own, the routers' messages
    // are still unread.
    void endSilentSessions()
    {
        const units::TimePoint now = clock_.now();
        const bool paused = now - lastTick_ > answerLimit_ / 2;
        lastTick_ = now;
        if (paused)
            pausedUntil_ = now + answerLimit_;
        if (now < pausedUntil_)
            return;
        std::vector<internal::SlotService *> silent;
        for (const auto &entry : sessions_->byRouter) {
            if (isSilent(*entry.second, now))
                silent.push_back(entry.second);
        }
        for (internal::SlotService *service : silent) {
            metrics_.add("monsoongrade_router_leases_expired_total");
            observability::log(observability::LogLevel::Warning, "router-lease-expired",
                               {{"session", service->session().value()}});
            service->end();
        }
    }

    // True where the sign of life that it was asked for is overdue; asks for one.
    bool isSilent(internal::SlotService &service, units::TimePoint now)
    {
        if (const auto asked = service.signAskedAt())
            return now - *asked > answerLimit_;
        if (now - service.lastHeard() < lease_ - answerLimit_ || !isSignWanted(service))
            return false;
        metrics_.add("monsoongrade_router_signs_asked_total");
        service.askForSign();
        return false;
    }

    bool isSignWanted(const internal::SlotService &service) const
    {
        return service.isContended()
            || (service.isUsed() && isSuspected(*fleet_.current(), service.router()));
    }

    void taskFailed(kj::Exception &&exception) override
    {
        observability::log(observability::LogLevel::Error, "rpc-task-failed",
                           {{"message", exception.getDescription().cStr()}});
    }

    RpcLoop &loop_;
    const units::Clock &clock_;
    const units::Duration lease_;
    const units::Duration answerLimit_;
    units::TimePoint lastTick_;
    units::TimePoint pausedUntil_;
    configuration::ConfigurationHolder &configuration_;
    membership::FleetHolder &fleet_;
    observability::Metrics &metrics_;
    std::shared_ptr<Cells> cells_;
    std::shared_ptr<SlotSessions> sessions_;
    kj::Own<kj::ConnectionReceiver> receiver_;
    capnp::TwoPartyServer server_;
    kj::TaskSet tasks_;
};

SchedulerServer::SchedulerServer(RpcLoop &loop, const units::Clock &clock,
                                 const SchedulerServerSettings &settings,
                                 configuration::ConfigurationHolder &configuration,
                                 membership::FleetHolder &fleet, observability::Metrics &metrics)
    : loop_(loop)
{
    std::promise<std::uint16_t> listening;
    loop_.postAndWait([&] {
        impl_ = std::make_shared<Impl>(loop, clock, settings, configuration, fleet, metrics);
        impl_->listen(settings.address, settings.port, listening);
    });
    try {
        port_ = listening.get_future().get();
    } catch (const std::exception &) {
        loop_.postAndWait([&] { impl_.reset(); });
        throw;
    }
    // The holders outlive this server and keep their listeners.
    const auto reapply = [&loop, weak = std::weak_ptr<Impl>(impl_)](const auto &) {
        loop.post([weak] {
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

void SchedulerServer::startLeaving()
{
    loop_.postAndWait([&] { impl_->startLeaving(); });
}

std::size_t SchedulerServer::routersUsing() const
{
    std::size_t count = 0;
    loop_.postAndWait([&] { count = impl_->routersUsing(); });
    return count;
}

} // namespace monsoongrade::rpc
