#include <monsoongrade/rpc/rpcslotsource.h>

#include <rpc/internal/messages.h>
#include <rpc/internal/schedulerconnection.h>

#include <monsoongrade/membership/rendezvous.h>
#include <monsoongrade/observability/log.h>

#include <chrono>
#include <map>

namespace monsoongrade::rpc {

namespace {

using internal::SchedulerConnection;
using scheduling::SlotListener;
using units::ResultCode;

// A scheduler whose connection broke is passed over for this long.
constexpr auto AvoidAfterFault = std::chrono::seconds(2);
constexpr auto RetryAfterUnreachable = std::chrono::seconds(2);
constexpr int MostAsksOfOneRequest = 8;

} // namespace

class RpcSlotSource::Impl : private kj::TaskSet::ErrorHandler
{
public:
    Impl(RpcLoop &loop, const RpcSlotSourceSettings &settings, membership::FleetHolder &fleet,
         observability::Metrics &metrics)
        : loop_(loop)
        , settings_(settings)
        , fleet_(fleet)
        , metrics_(metrics)
        , tasks_(*this)
    {
    }

    void ask(const scheduling::SlotAsk &ask, std::shared_ptr<SlotListener> listener)
    {
        Waiting &waiting = waiting_[ask.request];
        waiting.ask = ask;
        waiting.listener = std::move(listener);
        sendAsk(ask.request);
    }

    // The decision may already be on its way back. The ask stays until it arrives, so that a
    // grant for a caller that has left is released; dropped here, its place would stay taken.
    void cancel(const scheduling::SlotAsk &ask)
    {
        const auto found = waiting_.find(ask.request);
        if (found == waiting_.end())
            return;
        const auto connection = connections_.find(schedulerByPool_[ask.pool]);
        if (connection == connections_.end())
            return;
        auto call = connection->second->slots().cancelRequest();
        call.setPool(ask.pool.value());
        call.setRequest(ask.request.value());
        tasks_.add(call.send().ignoreResult());
    }

    void release(const units::RequestId &request, scheduling::SlotRelease release)
    {
        const auto found = held_.find(request);
        if (found == held_.end())
            return;
        const Held held = std::move(found->second);
        held_.erase(found);
        // The scheduler that granted it may be gone; its successor gave the grant a new number.
        release.grant = held.grant;
        const auto connection = connections_.find(held.scheduler);
        if (connection == connections_.end())
            return;
        auto call = connection->second->slots().releaseRequest();
        call.setPool(held.ask.pool.value());
        internal::write(call.initRelease(), release);
        tasks_.add(call.send().ignoreResult());
    }

private:
    struct Waiting
    {
        scheduling::SlotAsk ask;
        std::shared_ptr<SlotListener> listener;
        int asked = 0;
        kj::Maybe<kj::Promise<void>> call;
    };
    struct Held
    {
        scheduling::SlotAsk ask;
        units::EndpointId endpoint;
        units::GrantId grant;
        units::HostName scheduler;
    };

    void sendAsk(const units::RequestId &request)
    {
        const auto found = waiting_.find(request);
        if (found == waiting_.end())
            return;
        Waiting &waiting = found->second;
        const auto scheduler = chooseScheduler(waiting.ask.pool);
        if (!scheduler || ++waiting.asked > MostAsksOfOneRequest) {
            refuse(request, ResultCode::SchedulerUnreachable, RetryAfterUnreachable);
            return;
        }
        const units::HostName host = scheduler->host;
        SchedulerConnection &connection = connectionFor(waiting.ask.pool, *scheduler);
        auto call = connection.slots().askRequest();
        internal::write(call.initAsk(), waiting.ask);
        waiting.call
            = call.send()
                  .then([this, request, host](auto response) {
                      decided(request, host, response.getDecision());
                  })
                  .catch_([this, request, host](kj::Exception &&) { failed(request, host); })
                  .eagerlyEvaluate(nullptr);
    }

    void decided(const units::RequestId &request, const units::HostName &host,
                 schema::SlotDecision::Reader decision)
    {
        if (decision.isRefused()) {
            const auto refused = decision.getRefused();
            refuse(request, static_cast<ResultCode>(refused.getCode()),
                   std::chrono::milliseconds(refused.getRetryAfterMillis()));
            return;
        }
        const Waiting waiting = takeWaiting(request);
        scheduling::SlotGrant grant;
        grant.id = units::GrantId(decision.getGranted().getGrant());
        grant.request = request;
        grant.router = settings_.self;
        grant.endpoint = units::EndpointId(decision.getGranted().getEndpoint());
        held_[request] = {waiting.ask, grant.endpoint, grant.id, host};
        waiting.listener->slotGranted(grant);
    }

    void refuse(const units::RequestId &request, ResultCode code, units::Duration retryAfter)
    {
        const Waiting waiting = takeWaiting(request);
        waiting.listener->slotRefused({request, code, retryAfter});
    }

    // The running call ends as a part of the loop's own work; it can't be destroyed from within
    // itself, so it goes to the task set.
    Waiting takeWaiting(const units::RequestId &request)
    {
        const auto found = waiting_.find(request);
        Waiting waiting = std::move(found->second);
        waiting_.erase(found);
        KJ_IF_MAYBE (call, waiting.call)
            tasks_.add(kj::mv(*call));
        waiting.call = nullptr;
        return waiting;
    }

    void failed(const units::RequestId &request, const units::HostName &host)
    {
        if (connections_.count(host) > 0) {
            metrics_.add("monsoongrade_scheduler_connections_lost_total");
            observability::log(observability::LogLevel::Warning, "scheduler-lost",
                               {{"scheduler", host.value()}});
            lost_.push_back(std::move(connections_.at(host)));
            connections_.erase(host);
            avoidUntil_[host] = std::chrono::steady_clock::now() + AvoidAfterFault;
        }
        const auto found = waiting_.find(request);
        if (found == waiting_.end())
            return;
        KJ_IF_MAYBE (call, found->second.call)
            tasks_.add(kj::mv(*call));
        found->second.call = nullptr;
        tasks_.add(kj::evalLater([this, request] {
            lost_.clear();
            sendAsk(request);
        }));
    }

    std::optional<membership::Member> chooseScheduler(const units::PoolName &pool)
    {
        const auto now = std::chrono::steady_clock::now();
        for (const auto &member :
             membership::rendezvousOrder(pool.value(), fleet_.current()->liveEntryHosts())) {
            const auto avoided = avoidUntil_.find(member.host);
            if (avoided == avoidUntil_.end() || avoided->second <= now)
                return member;
        }
        return std::nullopt;
    }

    SchedulerConnection &connectionFor(const units::PoolName &pool,
                                       const membership::Member &scheduler)
    {
        auto &connection = connections_[scheduler.host];
        const bool isNew = !connection;
        if (isNew)
            connection = kj::heap<SchedulerConnection>(loop_, settings_, scheduler.address);
        units::HostName &last = schedulerByPool_[pool];
        if (isNew || last != scheduler.host)
            reportHeld(pool, scheduler.host, *connection);
        last = scheduler.host;
        return *connection;
    }

    // A scheduler that takes over knows nothing of the grants of the one before; without the
    // report it would hand the same places out a second time.
    void reportHeld(const units::PoolName &pool, const units::HostName &host,
                    SchedulerConnection &connection)
    {
        std::vector<units::RequestId> requests;
        for (const auto &[request, held] : held_) {
            if (held.ask.pool == pool)
                requests.push_back(request);
        }
        if (requests.empty())
            return;
        auto call = connection.slots().adoptRequest();
        auto list = call.initHeld(static_cast<unsigned>(requests.size()));
        for (unsigned i = 0; i < requests.size(); ++i) {
            const Held &held = held_.at(requests[i]);
            internal::write(list[i].initAsk(), held.ask);
            list[i].setEndpoint(held.endpoint.value());
        }
        tasks_.add(call.send().then([this, requests, host](auto response) {
            const auto grants = response.getGrants();
            for (unsigned i = 0; i < requests.size() && i < grants.size(); ++i)
                renumber(requests[i], units::GrantId(grants[i]), host);
        }));
    }

    void renumber(const units::RequestId &request, units::GrantId grant,
                  const units::HostName &host)
    {
        const auto found = held_.find(request);
        if (found == held_.end())
            return;
        found->second.grant = grant;
        found->second.scheduler = host;
    }

    void taskFailed(kj::Exception &&exception) override
    {
        observability::log(observability::LogLevel::Debug, "scheduler-call-failed",
                           {{"message", exception.getDescription().cStr()}});
    }

    RpcLoop &loop_;
    RpcSlotSourceSettings settings_;
    membership::FleetHolder &fleet_;
    observability::Metrics &metrics_;
    std::map<units::HostName, kj::Own<SchedulerConnection>> connections_;
    std::vector<kj::Own<SchedulerConnection>> lost_;
    std::map<units::HostName, std::chrono::steady_clock::time_point> avoidUntil_;
    std::map<units::PoolName, units::HostName> schedulerByPool_;
    std::map<units::RequestId, Held> held_;
    std::map<units::RequestId, Waiting> waiting_;
    kj::TaskSet tasks_;
};

RpcSlotSource::RpcSlotSource(RpcLoop &loop, const RpcSlotSourceSettings &settings,
                             membership::FleetHolder &fleet, observability::Metrics &metrics)
    : loop_(loop)
{
    loop_.postAndWait([&] { impl_ = std::make_shared<Impl>(loop, settings, fleet, metrics); });
}

RpcSlotSource::~RpcSlotSource()
{
    loop_.postAndWait([&] { impl_.reset(); });
}

void RpcSlotSource::ask(const scheduling::SlotAsk &ask,
                        std::shared_ptr<scheduling::SlotListener> listener)
{
    loop_.post(
        [impl = impl_.get(), ask, listener = std::move(listener)] { impl->ask(ask, listener); });
}

void RpcSlotSource::cancel(const scheduling::SlotAsk &ask)
{
    loop_.post([impl = impl_.get(), ask] { impl->cancel(ask); });
}

void RpcSlotSource::release(const scheduling::SlotGrant &grant,
                            const scheduling::SlotRelease &release)
{
    loop_.post([impl = impl_.get(), request = grant.request, release] {
        impl->release(request, release);
    });
}

} // namespace monsoongrade::rpc
