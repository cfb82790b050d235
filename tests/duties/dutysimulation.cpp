#include "dutysimulation.h"

#include "simulatedhost.h"

#include <monsoongrade/duties/dutyhosts.h>

#include <algorithm>
#include <cmath>

namespace monsoongrade::duties {

namespace {

constexpr auto TickInterval = std::chrono::milliseconds(100);
constexpr int RequestsPerTick = 4;
constexpr int Workspaces = 5;
constexpr int Domains = 3;
// Time until other hosts detect a failure.
constexpr auto FailureDetectionTime = std::chrono::milliseconds(1500);
constexpr int WallClockSamplesPerTick = 2;

} // namespace

DutySimulation::DutySimulation(DutySimulationSettings settings)
    : settings_(settings)
    , random_(settings.seed)
    , storeUnavailableUntil_(std::size_t(settings.hosts))
    , wallClockOffset_(std::size_t(settings.hosts))
{
    for (int i = 0; i < settings.hosts; ++i) {
        hosts_.push_back(std::make_unique<Host>(*this, i, 0));
        at(now_ + between(0, 300), [this, i] { tick(i); });
    }
    if (settings_.hasFaults)
        at(now_ + between(0, 3000), [this] { injectFault(); });
}

DutySimulation::~DutySimulation() = default;

void DutySimulation::at(units::TimePoint when, std::function<void()> function)
{
    events_.emplace(when, std::move(function));
}

units::Duration DutySimulation::between(int fromMs, int toMs)
{
    return std::chrono::milliseconds(std::uniform_int_distribution<int>(fromMs, toMs)(random_));
}

bool DutySimulation::occurs(double share)
{
    return std::bernoulli_distribution(share)(random_);
}

void DutySimulation::run(units::Duration duration)
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

void DutySimulation::tick(int machine)
{
    at(now_ + TickInterval, [this, machine] { tick(machine); });
    Host &host = *hosts_[std::size_t(machine)];
    if (!host.isAlive || now_ < host.frozenUntil)
        return;
    exchangeWallClockSamples(host);
    startRequests(host);
    sendUsageCounts(host);
    const std::vector<std::string> candidates = dutyCandidates(liveHosts());
    host.holder->run(std::find(candidates.begin(), candidates.end(), std::to_string(machine))
                     != candidates.end());
}

void DutySimulation::exchangeWallClockSamples(Host &host)
{
    const auto shownBy = [&](int machine) {
        return WallTime(now_.time_since_epoch() + wallClockOffset_[std::size_t(machine)]);
    };
    host.wallTime.onSample(std::to_string(host.machine), shownBy(host.machine), host.now());
    for (int i = 0; i < WallClockSamplesPerTick; ++i) {
        const int other = std::uniform_int_distribution<int>(0, settings_.hosts - 1)(random_);
        if (hosts_[std::size_t(other)]->isAlive)
            host.wallTime.onSample(std::to_string(other), shownBy(other) - between(0, 5),
                                   host.now());
    }
}

void DutySimulation::startRequests(Host &host)
{
    for (int i = 0; i < RequestsPerTick; ++i) {
        const units::WorkspaceName workspace(
            "w" + std::to_string(std::uniform_int_distribution<int>(1, Workspaces)(random_)));
        ++startedRequests_[windowNow()][workspace];
        host.ledger.increment(windows_.windowAt(host.wallTime.at(host.now())), workspace);
    }
}

// The live hosts as known through gossip.
std::vector<routing::PeerUpdate> DutySimulation::liveHosts() const
{
    std::vector<routing::PeerUpdate> live;
    for (const auto &host : hosts_) {
        if (!host->isAlive && now_ >= host->endedAt + FailureDetectionTime)
            continue;
        routing::PeerUpdate update;
        update.ip = std::to_string(host->machine);
        update.failureDomain = units::FailureDomain("z" + std::to_string(host->machine % Domains));
        update.state = host->isStopping ? routing::PeerState::Leaving : routing::PeerState::Serving;
        update.uptime = now_ - host->startedAt;
        update.dutyToken = host->isAlive ? host->holder->currentToken().value() : 0;
        live.push_back(update);
    }
    return live;
}

void DutySimulation::sendUsageCounts(Host &host)
{
    if (now_ < host.lastSentAt + UsagePublisher::interval(hosts_.size()))
        return;
    host.lastSentAt = now_;
    for (const UsageUpdate &update :
         host.publisher.nextUpdates(usageCollectors(liveHosts()), host.ledger, host.now())) {
        if (settings_.hasFaults && occurs(0.03))
            continue;
        const auto collector = std::size_t(std::stoi(update.collector));
        const std::string source = host.ledger.sourceId();
        at(now_ + between(1, 5), [this, collector, source, entries = update.entries] {
            if (!hosts_[collector]->isAlive)
                return;
            for (const UsageEntry &entry : entries)
                hosts_[collector]->ledger.merge(source, entry);
        });
    }
}

std::vector<WindowNumber> DutySimulation::inaccurateWindows(WindowNumber from,
                                                            double tolerance) const
{
    std::vector<WindowNumber> inaccurate;
    const WallTime now(now_.time_since_epoch());
    for (auto truth = startedRequests_.lower_bound(from); truth != startedRequests_.end();
         ++truth) {
        if (windows_.endOf(truth->first) + windows_.dueWithin > now)
            break;
        const auto report = reports_.find(truth->first);
        bool isAccurate = report != reports_.end();
        for (const auto &[workspace, count] : truth->second) {
            if (!isAccurate)
                break;
            const auto reported = report->second.find(workspace);
            const double error
                = double(reported == report->second.end() ? 0 : reported->second) - double(count);
            isAccurate = std::abs(error) <= tolerance * double(count);
        }
        if (!isAccurate)
            inaccurate.push_back(truth->first);
    }
    return inaccurate;
}

int DutySimulation::holder() const
{
    for (const auto &host : hosts_) {
        if (host->isAlive && host->holder->currentToken() != FencingToken())
            return host->machine;
    }
    return -1;
}

void DutySimulation::crash(int machine, units::Duration downFor)
{
    if (!hosts_[std::size_t(machine)]->isAlive)
        return;
    hosts_[std::size_t(machine)]->isAlive = false;
    hosts_[std::size_t(machine)]->endedAt = now_;
    at(now_ + downFor, [this, machine] {
        const int runId = int(now_.time_since_epoch().count() % 1000000007);
        // Kept for a while, since calls of the earlier process run still refer to it.
        auto earlier = std::shared_ptr<Host>(std::move(hosts_[std::size_t(machine)]));
        hosts_[std::size_t(machine)] = std::make_unique<Host>(*this, machine, runId);
        at(now_ + std::chrono::minutes(1), [earlier] {});
    });
}

void DutySimulation::stop(int machine, units::Duration downFor)
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

void DutySimulation::freeze(int machine, units::Duration duration)
{
    hosts_[std::size_t(machine)]->frozenUntil = now_ + duration;
}

void DutySimulation::disconnectStore(int machine, units::Duration duration)
{
    storeUnavailableUntil_[std::size_t(machine)] = now_ + duration;
}

void DutySimulation::disconnectStoreForAll(units::Duration duration)
{
    for (units::TimePoint &until : storeUnavailableUntil_)
        until = now_ + duration;
}

void DutySimulation::stepWallClock(int machine, units::Duration step)
{
    wallClockOffset_[std::size_t(machine)] = step;
}

void DutySimulation::disconnectPlatform(units::Duration duration)
{
    platformUnavailableUntil_ = now_ + duration;
}

void DutySimulation::injectFault()
{
    at(now_ + between(100, settings_.maxFaultIntervalMs), [this] { injectFault(); });
    const int holding = holder();
    const int machine = holding >= 0 && occurs(0.7)
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
        disconnectStore(machine, between(500, 6000));
        break;
    case 4:
        disconnectStoreForAll(between(200, 5000));
        break;
    default:
        disconnectPlatform(between(200, 5000));
        break;
    }
}

bool DutySimulation::isStoreUnavailable(int machine) const
{
    return now_ < storeUnavailableUntil_[std::size_t(machine)];
}

// Runs the function on the host unless it has crashed; a frozen host runs it when it resumes.
void DutySimulation::answerAt(Host &host, units::Duration delay,
                              const std::function<void()> &function)
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

void DutySimulation::storeCall(Host &host, const std::function<void()> &execute,
                               const std::function<void(bool)> &answer)
{
    const bool isLost = isStoreUnavailable(host.machine) || (settings_.hasFaults && occurs(0.05));
    if (isLost) {
        // May still be executed, late.
        if (occurs(0.5))
            at(now_ + between(0, 6000), execute);
        answerAt(host, MaxCallTime, [answer] { answer(false); });
        return;
    }
    const units::Duration latency = between(1, settings_.hasFaults && occurs(0.1) ? 400 : 10);
    at(now_ + latency, execute);
    answerAt(host, latency + latency + std::chrono::microseconds(1), [answer] { answer(true); });
}

void DutySimulation::platformCall(Host &host, const std::function<void()> &execute,
                                  const std::function<void(bool)> &answer)
{
    const bool isLost = now_ < platformUnavailableUntil_ || (settings_.hasFaults && occurs(0.1));
    if (isLost) {
        // May still be executed until the timeout, at which the connection is reset.
        if (occurs(0.5))
            at(now_ + between(0, 900), execute);
        answerAt(host, MaxCallTime, [answer] { answer(false); });
        return;
    }
    const units::Duration latency = between(1, 20);
    at(now_ + latency, execute);
    answerAt(host, latency + latency, [answer] { answer(true); });
}

void DutySimulation::recordAct(int machine, FencingToken token)
{
    if (token < newestToken_)
        violations_.emplace_back("a lower token after a higher one");
    newestToken_ = std::max(newestToken_, token);
    const auto known = machineOfToken_.emplace(token, machine).first;
    if (known->second != machine)
        violations_.emplace_back("two holders under one token");
    // Detects hosts A, B, A acting in turn within the lease's duration.
    bool sawOther = false;
    for (auto act = acts_.rbegin(); act != acts_.rend(); ++act) {
        if (now_ - act->first >= LeaseDuration)
            break;
        sawOther = sawOther || act->second != machine;
        if (sawOther && act->second == machine) {
            violations_.emplace_back("a holder acts again after another one within the lease");
            break;
        }
    }
    acts_.emplace_back(now_, machine);
}

void DutySimulation::onUsageCall(int machine, FencingToken token, WindowNumber window,
                                 const UsageCounts &counts)
{
    recordAct(machine, token);
    const auto known = reports_.emplace(window, counts).first;
    if (known->second != counts)
        violations_.emplace_back("two reports of one window differ");
}

} // namespace monsoongrade::duties
