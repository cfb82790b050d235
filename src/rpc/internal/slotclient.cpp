#include <rpc/internal/slotclient.h>

#include <rpc/internal/messages.h>

#include <monsoongrade/observability/log.h>

#include <kj/timer.h>

#include <algorithm>

namespace monsoongrade::rpc::internal {

namespace {

using std::chrono::steady_clock;
using units::ResultCode;

constexpr auto RetryAfterUnreachable = std::chrono::seconds(2);
// How long an ask waits for the first view of the fleet.
constexpr auto WaitForFleet = std::chrono::seconds(2);
constexpr int MaxUnanswered = 3;
constexpr int MaxAttempts = 32;
constexpr auto TickPeriod = 100 * kj::MILLISECONDS;

} // namespace

SlotClient::SlotClient(RpcLoop &loop, const RpcSlotSourceSettings &settings,
                       membership::FleetHolder &fleet, observability::Metrics &metrics)
    : loop_(loop)
    , tasks_(kj::heap<kj::TaskSet>(static_cast<kj::TaskSet::ErrorHandler &>(*this)))
    , settings_(settings)
    , fleet_(fleet)
    , metrics_(metrics)
    , links_(loop, settings, metrics, *tasks_, [this](const LinkPointer &link) { gone(link); })
    , held_(*tasks_)
{
    links_.setMembers(fleet_.current()->liveSchedulerHosts());
    tick();
}

SlotClient::~SlotClient()
{
    tasks_ = nullptr;
}

void SlotClient::ask(const scheduling::SlotAsk &ask,
                     std::shared_ptr<scheduling::SlotListener> listener)
{
    Waiting &waiting = pools_[ask.pool].waiting[ask.request];
    waiting = Waiting();
    waiting.ask = ask;
    waiting.listener = std::move(listener);
    waiting.since = steady_clock::now();
    send(ask.pool, ask.request);
}

// A grant that is already on its way finds nobody waiting and is given back.
void SlotClient::cancel(const scheduling::SlotAsk &ask)
{
    const Waiting *waiting = findWaiting(ask.pool, ask.request);
    if (waiting == nullptr)
        return;
    const LinkPointer link = waiting->link;
    pools_[ask.pool].waiting.erase(ask.request);
    withdraw(ask.pool, ask.request, link);
}

void SlotClient::release(const units::RequestId &request, const scheduling::SlotRelease &release)
{
    held_.release(request, release);
}

void SlotClient::fleetChanged()
{
    const auto members = fleet_.current()->liveSchedulerHosts();
    links_.askSuspected(members);
    if (!links_.setMembers(members))
        return;
    for (const auto &entry : pools_)
        assign(entry.first);
}

void SlotClient::send(const units::PoolName &name, const units::RequestId &request)
{
    if (!pools_[name].link || !pools_[name].link->isOpen())
        assign(name);
    Waiting *waiting = findWaiting(name, request);
    // Where the pool has just got its scheduler, that sent the ask along with all others.
    if (waiting == nullptr || (waiting->link && waiting->link == pools_[name].link))
        return;
    const LinkPointer link = pools_[name].link;
    const units::TimePoint now = steady_clock::now();
    if (!link) {
        waiting->link = nullptr;
        if (links_.hasMembers() || now - waiting->since > WaitForFleet)
            refuse(name, request, ResultCode::SchedulerUnreachable, RetryAfterUnreachable);
        return;
    }
    if (waiting->unanswered >= MaxUnanswered || waiting->attempts >= MaxAttempts) {
        refuse(name, request, ResultCode::SchedulerUnreachable, RetryAfterUnreachable);
        return;
    }
    ++waiting->attempts;
    waiting->link = link;
    waiting->attempt = nextAttempt_++;
    scheduling::SlotAsk ask = waiting->ask;
    ask.waited += now - waiting->since;
    auto call = link->connection->slots().askRequest();
    write(call.initAsk(), ask);
    tasks_->add(call.send()
                    .then([this, name, request, link, attempt = waiting->attempt](auto response) {
                        links_.heard(link);
                        decided(name, request, attempt, link, response.getDecision());
                    })
                    .catch_([this, link](kj::Exception &&) { links_.lost(link); })
                    .attach(kj::heap<AwaitedCall>(link)));
}

void SlotClient::decided(const units::PoolName &name, const units::RequestId &request,
                         std::uint64_t attempt, const LinkPointer &link,
                         schema::SlotDecision::Reader decision)
{
    if (decision.isMoved()) {
        links_.leaving(link);
        return;
    }
    Waiting *waiting = findWaiting(name, request);
    const bool isCurrent = waiting != nullptr && waiting->attempt == attempt;
    if (decision.isRefused()) {
        const auto refused = decision.getRefused();
        if (isCurrent)
            refuse(name, request, static_cast<ResultCode>(refused.getCode()),
                   std::chrono::milliseconds(refused.getRetryAfterMillis()));
        return;
    }
    const units::GrantId id(decision.getGranted().getGrant());
    if (!isCurrent) {
        held_.releaseUnheld(name, link, id);
        return;
    }
    scheduling::SlotGrant grant;
    grant.id = id;
    grant.request = request;
    grant.router = settings_.self;
    grant.endpoint = units::EndpointId(decision.getGranted().getEndpoint());
    held_.add(waiting->ask, grant.endpoint, link, id);
    const auto listener = std::move(waiting->listener);
    pools_[name].waiting.erase(request);
    listener->slotGranted(grant);
}

SlotClient::Waiting *SlotClient::findWaiting(const units::PoolName &name,
                                             const units::RequestId &request)
{
    auto &waiting = pools_[name].waiting;
    const auto found = waiting.find(request);
    return found == waiting.end() ? nullptr : &found->second;
}

void SlotClient::refuse(const units::PoolName &name, const units::RequestId &request,
                        ResultCode code, units::Duration retryAfter)
{
    auto &waiting = pools_[name].waiting;
    const auto found = waiting.find(request);
    const auto listener = std::move(found->second.listener);
    waiting.erase(found);
    listener->slotRefused({request, code, retryAfter});
}

void SlotClient::withdraw(const units::PoolName &name, const units::RequestId &request,
                          const LinkPointer &link)
{
    if (!link || !link->isOpen())
        return;
    auto call = link->connection->slots().cancelRequest();
    call.setPool(name.value());
    call.setRequest(request.value());
    tasks_->add(awaited(link, call.send()));
}

void SlotClient::assign(const units::PoolName &name)
{
    Pool &pool = pools_[name];
    const LinkPointer next = links_.choose(name, pool.link);
    if (next == pool.link)
        return;
    const LinkPointer old = std::move(pool.link);
    pool.link = next;
    if (next)
        metrics_.add("monsoongrade_pool_moves_total", observability::label("pool", name.value()));
    if (old && old->isOpen() && next)
        ++old->movesPending;
    if (next)
        held_.report(
            name, next, [this, name, old] { reported(name, old); },
            [this, next, name, old] {
                links_.lost(next);
                reported(name, old);
            });
    moveFrom(name, old);
}

void SlotClient::moveFrom(const units::PoolName &name, const LinkPointer &old)
{
    std::vector<units::RequestId> requests;
    for (const auto &entry : pools_[name].waiting)
        requests.push_back(entry.first);
    for (const units::RequestId &request : requests) {
        Waiting *waiting = findWaiting(name, request);
        if (waiting == nullptr)
            continue;
        if (waiting->link && waiting->link == old) {
            waiting->unanswered = old->heard ? 0 : waiting->unanswered + 1;
            withdraw(name, request, old);
        }
        send(name, request);
    }
}

// The next scheduler has counted what is held, so the old one may go.
void SlotClient::reported(const units::PoolName &name, const LinkPointer &old)
{
    if (!old || !old->isOpen())
        return;
    --old->movesPending;
    if (old->leaving) {
        if (old->movesPending == 0)
            links_.close(old);
        return;
    }
    if (pools_[name].link == old)
        return;
    auto call = old->connection->slots().detachRequest();
    call.setPool(name.value());
    tasks_->add(awaited(old, call.send()));
}

void SlotClient::gone(const LinkPointer &link)
{
    std::vector<units::PoolName> names;
    for (const auto &entry : pools_) {
        if (entry.second.link == link)
            names.push_back(entry.first);
    }
    for (const units::PoolName &name : names)
        assign(name);
    // Nobody else to count what is held: the leaving scheduler need not wait for us.
    if (link->leaving && link->movesPending == 0)
        links_.close(link);
}

void SlotClient::tick()
{
    std::vector<std::pair<units::PoolName, units::RequestId>> unsent;
    std::vector<units::PoolName> names;
    for (const auto &[name, pool] : pools_) {
        names.push_back(name);
        for (const auto &entry : pool.waiting) {
            if (pool.link)
                break;
            unsent.emplace_back(name, entry.first);
        }
    }
    // A scheduler that was passed over for a while is asked again, so that all routers come
    // back to the same one.
    for (const units::PoolName &name : names)
        assign(name);
    for (const auto &[name, request] : unsent)
        send(name, request);
    links_.heartbeat();
    for (const LinkPointer &link : links_.links()) {
        const bool isCurrent = std::any_of(pools_.begin(), pools_.end(), [&](const auto &entry) {
            return entry.second.link == link;
        });
        if (!isCurrent && link->held == 0 && link->movesPending == 0 && !link->signAskedAt)
            links_.close(link);
    }
    tasks_->add(loop_.timer().afterDelay(TickPeriod).then([this] { tick(); }));
}

void SlotClient::taskFailed(kj::Exception &&exception)
{
    observability::log(observability::LogLevel::Debug, "scheduler-call-failed",
                       {{"message", exception.getDescription().cStr()}});
}

} // namespace monsoongrade::rpc::internal
