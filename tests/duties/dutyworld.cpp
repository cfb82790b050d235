#include "dutyworld.h"

#include "dutyworldhost.h"

#include <monsoongrade/duties/dutyhosts.h>

#include <algorithm>
#include <cmath>

namespace monsoongrade::duties {

namespace {

constexpr auto TickInterval = std::chrono::milliseconds(100);
constexpr int RequestsInTick = 4;
constexpr int Workspaces = 5;
constexpr int Domains = 3;
// Other hosts notice a loss after this time.
constexpr auto LossNoticedAfter = std::chrono::milliseconds(1500);
constexpr int WallSamplesInTick = 2;

} // namespace

DutyWorld::DutyWorld(DutyWorldSettings settings)
    : settings_(settings)
    , random_(settings.seed)
    , storeAwayUntil_(std::size_t(settings.hosts))
    , wallStep_(std::size_t(settings.hosts))
{
    for (int i = 0; i < settings.hosts; ++i) {
        hosts_.push_back(std::make_unique<Host>(*this, i, 0));
        at(now_ + between(0, 300), [this, i] { tick(i); });
    }
    if (settings_.hasFaults)
        at(now_ + between(0, 3000), [this] { injectFault(); });
}

DutyWorld::~DutyWorld() = default;

void DutyWorld::at(units::TimePoint when, std::function<void()> function)
{
    events_.emplace(when, std::move(function));
}

units::Duration DutyWorld::between(int fromMs, int toMs)
{
    return std::chrono::milliseconds(std::uniform_int_distribution<int>(fromMs, toMs)(random_));
}

bool DutyWorld::happens(double share)
{
    return std::bernoulli_distribution(share)(random_);
}

void DutyWorld::run(units::Duration duration)
{
    const units::TimePoint end = now_ + duration;
    while (!events_.empty() && events_.begin()->first <= end) {
        const auto next = events_.begin();
        now_ = next->first;
        const auto function = std::move(next->second);
        events_.erase(next);
        function();
    }
    now_ = end;
}

void DutyWorld::tick(int machine)
{
    at(now_ + TickInterval, [this, machine] { tick(machine); });
    Host &host = *hosts_[std::size_t(machine)];
    if (!host.isAlive || now_ < host.frozenUntil)
        return;
    exchangeWallTimes(host);
    beginRequests(host);
    tellCounts(host);
    const std::vector<std::string> candidates = dutyCandidates(liveHosts());
    host.holder->run(std::find(candidates.begin(), candidates.end(), std::to_string(machine))
                     != candidates.end());
}

void DutyWorld::exchangeWallTimes(Host &host)
{
    const auto shownBy = [&](int machine) {
        return WallTime(now_.time_since_epoch() + wallStep_[std::size_t(machine)]);
    };
    host.wallTime.onSample(std::to_string(host.machine), shownBy(host.machine), host.now());
    for (int i = 0; i < WallSamplesInTick; ++i) {
        const int other = std::uniform_int_distribution<int>(0, settings_.hosts - 1)(random_);
        if (hosts_[std::size_t(other)]->isAlive)
            host.wallTime.onSample(std::to_string(other), shownBy(other) - between(0, 5),
                                   host.now());
    }
}

void DutyWorld::beginRequests(Host &host)
{
    for (int i = 0; i < RequestsInTick; ++i) {
        const units::WorkspaceName workspace(
            "w" + std::to_string(std::uniform_int_distribution<int>(1, Workspaces)(random_)));
        ++begun_[windowNow()][workspace];
        host.ledger.increment(windows_.windowAt(host.wallTime.at(host.now())), workspace);
    }
}

// What gossip tells.
std::vector<routing::PeerUpdate> DutyWorld::liveHosts() const
{
    std::vector<routing::PeerUpdate> live;
    for (const auto &host : hosts_) {
        if (!host->isAlive && now_ >= host->endedAt + LossNoticedAfter)
            continue;
        routing::PeerUpdate news;
        news.ip = std::to_string(host->machine);
        news.failureDomain = units::FailureDomain("z" + std::to_string(host->machine % Domains));
        news.state = host->isStopping ? routing::PeerState::Leaving : routing::PeerState::Serving;
        news.uptime = now_ - host->startedAt;
        news.dutyToken = host->isAlive ? host->holder->currentToken().value() : 0;
        live.push_back(news);
    }
    return live;
}

void DutyWorld::tellCounts(Host &host)
{
    if (now_ < host.toldAt + UsagePublisher::interval(hosts_.size()))
        return;
    host.toldAt = now_;
    for (const UsageUpdate &news :
         host.telling.nextUpdates(usageCollectors(liveHosts()), host.ledger, host.now())) {
        if (settings_.hasFaults && happens(0.03))
            continue;
        const auto keeper = std::size_t(std::stoi(news.collector));
        const std::string reporter = host.ledger.sourceId();
        at(now_ + between(1, 5), [this, keeper, reporter, entries = news.entries] {
            if (!hosts_[keeper]->isAlive)
                return;
            for (const UsageEntry &entry : entries)
                hosts_[keeper]->ledger.merge(reporter, entry);
        });
    }
}

std::vector<WindowNumber> DutyWorld::badWindows(WindowNumber from, double tolerance) const
{
    std::vector<WindowNumber> bad;
    const WallTime now(now_.time_since_epoch());
    for (auto truth = begun_.lower_bound(from); truth != begun_.end(); ++truth) {
        if (windows_.endOf(truth->first) + windows_.dueWithin > now)
            break;
        const auto report = reports_.find(truth->first);
        bool isGood = report != reports_.end();
        for (const auto &[workspace, count] : truth->second) {
            if (!isGood)
                break;
            const auto told = report->second.find(workspace);
            const double off
                = double(told == report->second.end() ? 0 : told->second) - double(count);
            isGood = std::abs(off) <= tolerance * double(count);
        }
        if (!isGood)
            bad.push_back(truth->first);
    }
    return bad;
}

int DutyWorld::holder() const
{
    for (const auto &host : hosts_) {
        if (host->isAlive && host->holder->currentToken() != FencingToken())
            return host->machine;
    }
    return -1;
}

void DutyWorld::crash(int machine, units::Duration downFor)
{
    if (!hosts_[std::size_t(machine)]->isAlive)
        return;
    hosts_[std::size_t(machine)]->isAlive = false;
    hosts_[std::size_t(machine)]->endedAt = now_;
    at(now_ + downFor, [this, machine] {
        const int life = int(now_.time_since_epoch().count() % 1000000007);
        // Calls of the earlier life still refer to it.
        auto earlier = std::shared_ptr<Host>(std::move(hosts_[std::size_t(machine)]));
        hosts_[std::size_t(machine)] = std::make_unique<Host>(*this, machine, life);
        at(now_ + std::chrono::minutes(1), [earlier] {});
    });
}

void DutyWorld::stop(int machine, units::Duration downFor)
{
    Host *host = hosts_[std::size_t(machine)].get();
    if (!host->isAlive || host->isStopping || now_ < host->frozenUntil)
        return;
    host->isStopping = true;
    host->holder->stop();
    at(now_ + std::chrono::milliseconds(300), [this, machine, host, downFor] {
        if (hosts_[std::size_t(machine)].get() == host)
            crash(machine, downFor);
    });
}

void DutyWorld::freeze(int machine, units::Duration duration)
{
    hosts_[std::size_t(machine)]->frozenUntil = now_ + duration;
}

void DutyWorld::cutStore(int machine, units::Duration duration)
{
    storeAwayUntil_[std::size_t(machine)] = now_ + duration;
}

void DutyWorld::cutStoreForAll(units::Duration duration)
{
    for (units::TimePoint &until : storeAwayUntil_)
        until = now_ + duration;
}

void DutyWorld::stepWallClock(int machine, units::Duration step)
{
    wallStep_[std::size_t(machine)] = step;
}

void DutyWorld::cutPlatform(units::Duration duration)
{
    platformAwayUntil_ = now_ + duration;
}

void DutyWorld::injectFault()
{
    at(now_ + between(100, settings_.maxCalmMs), [this] { injectFault(); });
    const int holding = holder();
    const int machine = holding >= 0 && happens(0.7)
        ? holding
        : std::uniform_int_distribution<int>(0, settings_.hosts - 1)(random_);
    switch (std::uniform_int_distribution<int>(0, 5)(random_)) {
    case 0:
        crash(machine, between(50, 4000));
        break;
    case 1:
        stop(machine, between(50, 1500));
        break;
    case 2:
        freeze(machine, between(200, 6000));
        break;
    case 3:
        cutStore(machine, between(500, 6000));
        break;
    case 4:
        cutStoreForAll(between(200, 5000));
        break;
    default:
        cutPlatform(between(200, 5000));
        break;
    }
}

bool DutyWorld::isStoreAway(int machine) const
{
    return now_ < storeAwayUntil_[std::size_t(machine)];
}

// Runs the function at the host, unless it has crashed; a frozen host runs it when it wakes up.
void DutyWorld::answerAt(Host &host, units::Duration delay, const std::function<void()> &function)
{
    at(now_ + delay, [this, &host, function] {
        if (!host.isAlive)
            return;
        if (now_ < host.frozenUntil)
            answerAt(host, host.frozenUntil - now_ + between(0, 20), function);
        else
            function();
    });
}

void DutyWorld::storeCall(Host &host, const std::function<void()> &execute,
                          const std::function<void(bool)> &answer)
{
    const bool isLost = isStoreAway(host.machine) || (settings_.hasFaults && happens(0.05));
    if (isLost) {
        // Executed late, or never.
        if (happens(0.5))
            at(now_ + between(0, 6000), execute);
        answerAt(host, MaxCallTime, [answer] { answer(false); });
        return;
    }
    const units::Duration way = between(1, settings_.hasFaults && happens(0.1) ? 400 : 10);
    at(now_ + way, execute);
    answerAt(host, way + way + std::chrono::microseconds(1), [answer] { answer(true); });
}

void DutyWorld::platformCall(Host &host, const std::function<void()> &execute,
                             const std::function<void(bool)> &answer)
{
    const bool isLost = now_ < platformAwayUntil_ || (settings_.hasFaults && happens(0.1));
    if (isLost) {
        // The connection is reset after this time: nothing arrives any more.
        if (happens(0.5))
            at(now_ + between(0, 900), execute);
        answerAt(host, MaxCallTime, [answer] { answer(false); });
        return;
    }
    const units::Duration way = between(1, 20);
    at(now_ + way, execute);
    answerAt(host, way + way, [answer] { answer(true); });
}

void DutyWorld::noteAct(int machine, FencingToken token)
{
    if (token < newestToken_)
        faults_.emplace_back("a lower token after a higher one");
    newestToken_ = std::max(newestToken_, token);
    const auto known = machineOfToken_.emplace(token, machine).first;
    if (known->second != machine)
        faults_.emplace_back("two holders under one token");
    // A, B, A within the lease's duration.
    bool sawOther = false;
    for (auto act = acts_.rbegin(); act != acts_.rend(); ++act) {
        if (now_ - act->first >= LeaseDuration)
            break;
        sawOther = sawOther || act->second != machine;
        if (sawOther && act->second == machine) {
            faults_.emplace_back("a holder acts again after another one within the lease");
            break;
        }
    }
    acts_.emplace_back(now_, machine);
}

void DutyWorld::onUsageCall(int machine, FencingToken token, WindowNumber window,
                            const UsageCounts &counts)
{
    noteAct(machine, token);
    const auto known = reports_.emplace(window, counts).first;
    if (known->second != counts)
        faults_.emplace_back("two reports of one window differ");
}

} // namespace monsoongrade::duties
