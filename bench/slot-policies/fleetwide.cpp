#include "fleetwide.h"

#include "messagesizes.h"
#include "wrongestimator.h"

namespace monsoongrade::bench {

namespace {

constexpr double TakeOverSeconds = 0.8;
constexpr auto SettlingTime = std::chrono::milliseconds(200);
constexpr double RouterLostSeconds = 0.1;

units::DaemonId routerId(int router)
{
    return units::DaemonId("router-" + std::to_string(router));
}

} // namespace

FleetWide::FleetWide(Timeline &timeline, scheduling::CellPolicy policy, const Options &options,
                     Listener listener)
    : timeline_(timeline)
    , policy_(std::move(policy))
    , options_(options)
    , listener_(std::move(listener))
{
    startScheduler();
}

void FleetWide::startScheduler()
{
    scheduling::DecisionSink &sink = *this;
    scheduler_ = std::make_unique<scheduling::CellScheduler>(timeline_.clock(), sink,
                                                             makeEstimator(options_.wrongLengths));
    scheduler_->configure(policy_);
}

void FleetWide::send(std::uint64_t bytes, std::function<void(scheduling::CellScheduler &)> what)
{
    countMessage(bytes);
    timeline_.after(0, [this, life = life_, what = std::move(what)] {
        if (scheduler_ && life == life_)
            what(*scheduler_);
    });
}

void FleetWide::ask(const scheduling::SlotAsk &ask, int router)
{
    scheduling::SlotAsk own = ask;
    own.router = routerId(router);
    waiting_[ask.request] = {own, timeline_.clock().now()};
    send(AskBytes, [own](auto &scheduler) { scheduler.ask(own); });
}

void FleetWide::cancel(const units::RequestId &request, int /*router*/)
{
    waiting_.erase(request);
    send(ReleaseBytes, [request](auto &scheduler) { scheduler.cancel(request); });
}

void FleetWide::release(const units::RequestId &request, int /*router*/,
                        scheduling::SlotRelease release)
{
    const auto found = held_.find(request);
    if (found == held_.end())
        return;
    release.grant = found->second.grant.id;
    held_.erase(found);
    send(ReleaseBytes, [release](auto &scheduler) { scheduler.release(release); });
}

void FleetWide::routerDied(int router)
{
    const units::DaemonId id = routerId(router);
    for (auto entry = waiting_.begin(); entry != waiting_.end();)
        entry = entry->second.ask.router == id ? waiting_.erase(entry) : std::next(entry);
    for (auto entry = held_.begin(); entry != held_.end();)
        entry = entry->second.ask.router == id ? held_.erase(entry) : std::next(entry);
    timeline_.after(RouterLostSeconds, [this, id] {
        if (scheduler_)
            scheduler_->routerLost(id);
    });
}

void FleetWide::schedulerDied()
{
    scheduler_.reset();
    ++life_;
    timeline_.after(TakeOverSeconds, [this] { takeOver(); });
}

// Grants first, or their slots would be given out twice.
void FleetWide::takeOver()
{
    startScheduler();
    scheduler_->settleUntil(timeline_.clock().now() + SettlingTime);
    for (auto &entry : held_) {
        countMessage(AskBytes);
        entry.second.grant.id = scheduler_->adopt(entry.second.ask, entry.second.grant.endpoint);
    }
    const std::map<units::RequestId, Waiting> waiting = waiting_;
    for (const auto &entry : waiting) {
        scheduling::SlotAsk ask = entry.second.ask;
        ask.waited += timeline_.clock().now() - entry.second.askedAt;
        send(AskBytes, [ask](auto &scheduler) { scheduler.ask(ask); });
    }
}

void FleetWide::tick()
{
    if (scheduler_)
        scheduler_->tick();
}

void FleetWide::granted(const scheduling::SlotGrant &grant)
{
    countMessage(DecisionBytes);
    timeline_.after(0, [this, grant, life = life_] {
        const auto found = waiting_.find(grant.request);
        if (found == waiting_.end()) {
            // The caller left meanwhile.
            scheduling::SlotRelease release;
            release.grant = grant.id;
            release.outcome = scheduling::ReleaseOutcome::CallerLeft;
            if (life == life_)
                send(ReleaseBytes, [release](auto &scheduler) { scheduler.release(release); });
            return;
        }
        held_[grant.request] = {found->second.ask, grant};
        waiting_.erase(found);
        listener_.granted(grant);
    });
}

void FleetWide::refused(const scheduling::SlotRefusal &refusal)
{
    countMessage(DecisionBytes);
    timeline_.after(0, [this, refusal] {
        if (waiting_.erase(refusal.request) > 0)
            listener_.refused(refusal);
    });
}

} // namespace monsoongrade::bench
