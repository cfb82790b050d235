#include <monsoongrade/slots/localslotsource.h>

#include <monsoongrade/scheduling/ownshare.h>

#include <slots/internal/localcell.h>
#include <slots/internal/worker.h>

#include <algorithm>

namespace monsoongrade::slots {

namespace {

using units::ResultCode;

constexpr auto RetryAfterUnknownPool = std::chrono::seconds(2);

} // namespace

// Runs on the worker's thread, but for construction.
class LocalSlotSource::Impl
{
public:
    Impl(const units::Clock &clock, units::HostName self,
         configuration::ConfigurationHolder &configuration, membership::FleetHolder &fleet,
         observability::Metrics &metrics)
        : clock_(clock)
        , self_(std::move(self))
        , configuration_(configuration)
        , fleet_(fleet)
        , metrics_(metrics)
        , worker_([this] { tick(); })
    {
    }

    void post(std::function<void()> function) { worker_.post(std::move(function)); }

    void ask(const scheduling::SlotAsk &ask,
             const std::shared_ptr<scheduling::SlotListener> &listener)
    {
        applyChanges();
        const auto cell = cells_.find(ask.pool);
        if (cell == cells_.end()) {
            listener->slotRefused(
                {ask.request, ResultCode::NoEndpointAvailable, RetryAfterUnknownPool});
            return;
        }
        metrics_.add("monsoongrade_own_share_asks_total",
                     observability::label("pool", ask.pool.value()));
        cell->second.ask(ask, listener);
    }

    void cancel(const scheduling::SlotAsk &ask)
    {
        const auto cell = cells_.find(ask.pool);
        if (cell != cells_.end())
            cell->second.cancel(ask.request);
    }

    void release(const units::EndpointId &endpoint, const scheduling::SlotRelease &release)
    {
        const auto pool = poolOf_.find(endpoint);
        if (pool != poolOf_.end())
            cells_.at(pool->second).scheduler().release(release);
    }

private:
    void tick()
    {
        applyChanges();
        for (auto &entry : cells_)
            entry.second.scheduler().tick();
    }

    void applyChanges()
    {
        const auto configuration = configuration_.current();
        const auto fleet = fleet_.current();
        if (!configuration || (configuration == applied_ && fleet == appliedFleet_))
            return;
        const std::vector<membership::Member> routers = fleet->liveEntryHosts();
        const auto rank = static_cast<std::size_t>(
            std::count_if(routers.begin(), routers.end(),
                          [this](const auto &member) { return member.host < self_; }));
        const bool sharesChanged
            = configuration != applied_ || rank != rank_ || routers.size() != routers_;
        applied_ = configuration;
        appliedFleet_ = fleet;
        rank_ = rank;
        routers_ = routers.size();
        for (const auto &[name, pool] : configuration->pools) {
            auto &scheduler = cells_.try_emplace(name, clock_).first->second.scheduler();
            if (sharesChanged) {
                scheduling::CellPolicy policy = configuration->cellPolicy(name);
                policy.endpoints = scheduling::ownShare(policy.endpoints, rank_, routers_);
                scheduler.configure(policy);
            }
            for (const auto &endpoint : pool.endpoints) {
                poolOf_[endpoint.id] = name;
                const bool hostLeaves = fleet->leavingEndpointHosts.count(endpoint.host) > 0;
                scheduler.setLeaving(endpoint.id, hostLeaves || configuration->isDrained(endpoint));
            }
        }
    }

    const units::Clock &clock_;
    const units::HostName self_;
    configuration::ConfigurationHolder &configuration_;
    membership::FleetHolder &fleet_;
    observability::Metrics &metrics_;
    configuration::ConfigurationHolder::Snapshot applied_;
    membership::FleetHolder::Snapshot appliedFleet_;
    std::size_t rank_ = 0;
    std::size_t routers_ = 0;
    std::map<units::PoolName, internal::LocalCell> cells_;
    std::map<units::EndpointId, units::PoolName> poolOf_;
    // Last: its thread uses all the rest.
    internal::Worker worker_;
};

LocalSlotSource::LocalSlotSource(const units::Clock &clock, const units::HostName &self,
                                 configuration::ConfigurationHolder &configuration,
                                 membership::FleetHolder &fleet, observability::Metrics &metrics)
    : impl_(std::make_shared<Impl>(clock, self, configuration, fleet, metrics))
{
}

LocalSlotSource::~LocalSlotSource() = default;

void LocalSlotSource::ask(const scheduling::SlotAsk &ask,
                          std::shared_ptr<scheduling::SlotListener> listener)
{
    impl_->post(
        [impl = impl_.get(), ask, listener = std::move(listener)] { impl->ask(ask, listener); });
}

void LocalSlotSource::cancel(const scheduling::SlotAsk &ask)
{
    impl_->post([impl = impl_.get(), ask] { impl->cancel(ask); });
}

void LocalSlotSource::release(const scheduling::SlotGrant &grant,
                              const scheduling::SlotRelease &release)
{
    scheduling::SlotRelease numbered = release;
    numbered.grant = grant.id;
    impl_->post([impl = impl_.get(), endpoint = grant.endpoint, numbered] {
        impl->release(endpoint, numbered);
    });
}

} // namespace monsoongrade::slots
