#ifndef MONSOONGRADE_TESTS_MEMBERSHIP_FAKEFLEET_H
#define MONSOONGRADE_TESTS_MEMBERSHIP_FAKEFLEET_H

#include <monsoongrade/membership/membershipprotocol.h>
#include <monsoongrade/units/manualclock.h>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace monsoongrade::membership {

using namespace std::chrono_literals;

// The daemons of many hosts on a network in memory that loses, delays, repeats and reorders
// messages, and can cut one direction of a link. One seed gives one course of events.
class FakeFleet
{
public:
    struct Faults
    {
        double loss = 0;
        double repeat = 0;
        units::Duration delay = 2ms;
        // Added to the delay at random; more than the gaps between messages reorders them.
        units::Duration jitter = 3ms;
    };
    struct Daemon
    {
        std::unique_ptr<MembershipProtocol> protocol;
        bool running = true;
        bool frozen = false;
        std::vector<PeerMessage> waiting;
    };

    explicit FakeFleet(std::size_t daemons, std::uint32_t seed = 1)
        : random_(seed)
        , listedHosts_(daemons / 2)
    {
        for (std::size_t i = 0; i < daemons; ++i)
            start(i);
    }

    // Daemon 2n is host n's router, daemon 2n + 1 its scheduler.
    static MemberId id(std::size_t i)
    {
        return {units::HostName("entry-" + std::to_string(i / 2)),
                i % 2 == 0 ? DaemonRole::Router : DaemonRole::Scheduler};
    }
    static std::size_t indexOf(const MemberId &id)
    {
        return std::stoul(id.host.value().substr(6)) * 2 + (id.role == DaemonRole::Router ? 0 : 1);
    }

    // A new process on the host, and its first read of the list.
    void start(std::size_t i)
    {
        MemberRecord self;
        self.id = id(i);
        self.address = "127.33.0." + std::to_string(i / 2);
        self.failureDomain = units::FailureDomain("domain-" + std::to_string(i % 3));
        self.life = static_cast<std::uint64_t>(clock_.now().time_since_epoch() / 1us);
        auto &daemon = daemons_[i];
        daemon = {};
        daemon.protocol = std::make_unique<MembershipProtocol>(clock_, self, settings, random_());
        if (!platformDown)
            readList(i);
    }
    void readList(std::size_t i) { protocol(i).applyList(list()); }
    std::vector<platform::Host> list() const
    {
        std::vector<platform::Host> hosts = endpoints;
        for (std::size_t i = 0; i < listedHosts_; ++i)
            hosts.push_back({id(i * 2).host, "127.33.0." + std::to_string(i),
                             units::FailureDomain(), platform::HostRole::Entry,
                             platform::HostState::Live});
        return hosts;
    }

    void kill(std::size_t i) { daemons_[i].running = false; }
    void freeze(std::size_t i) { daemons_[i].frozen = true; }
    // What arrived meanwhile is read now.
    void wake(std::size_t i)
    {
        daemons_[i].frozen = false;
        for (const PeerMessage &message : std::exchange(daemons_[i].waiting, {}))
            deliver(i, message);
    }
    // What arrived meanwhile is lost, as when the connections broke.
    void wakeDeaf(std::size_t i)
    {
        daemons_[i].waiting.clear();
        wake(i);
    }
    void cutLink(std::size_t from, std::size_t to) { cuts_.insert({from, to}); }
    void mendLinks() { cuts_.clear(); }

    void run(units::Duration time)
    {
        const auto end = clock_.now() + time;
        while (clock_.now() < end) {
            clock_.advance(Step);
            while (!queue_.empty() && queue_.begin()->first <= clock_.now()) {
                const auto next = queue_.begin()->second;
                queue_.erase(queue_.begin());
                deliver(next.first, next.second);
            }
            ++steps_;
            for (auto &[i, daemon] : daemons_) {
                if (daemon.running && !daemon.frozen && steps_ % TickSteps == i % TickSteps)
                    send(i, daemon.protocol->tick());
            }
        }
    }
    // Runs until the condition holds; returns how long that took, or `most`.
    units::Duration runUntil(const std::function<bool()> &condition, units::Duration most)
    {
        const auto begin = clock_.now();
        while (!condition() && clock_.now() - begin < most)
            run(Step);
        return clock_.now() - begin;
    }

    MembershipProtocol &protocol(std::size_t i) { return *daemons_.at(i).protocol; }
    Health healthOf(std::size_t i, std::size_t seenBy)
    {
        const MemberRecord *record = protocol(seenBy).find(id(i));
        return record == nullptr ? Health::Dead : record->health;
    }
    bool isUp(std::size_t i) const { return daemons_.at(i).running && !daemons_.at(i).frozen; }
    // Whether the condition holds of every running daemon but the given one.
    bool all(std::size_t but, const std::function<bool(std::size_t)> &condition)
    {
        for (const auto &[i, daemon] : daemons_) {
            if (i != but && isUp(i) && !condition(i))
                return false;
        }
        return true;
    }
    const std::map<std::size_t, Daemon> &daemons() const { return daemons_; }
    units::ManualClock &clock() { return clock_; }

    ProtocolSettings settings;
    Faults faults;
    bool platformDown = false;
    std::vector<platform::Host> endpoints;
    std::function<void(const PeerMessage &)> onSend;

private:
    static constexpr auto Step = 5ms;
    static constexpr std::size_t TickSteps = 10;

    double chance() { return static_cast<double>(random_()) / 4294967296.0; }

    void send(std::size_t from, const MembershipProtocol::Outgoing &messages)
    {
        for (const OutgoingMessage &outgoing : messages) {
            if (onSend)
                onSend(outgoing.message);
            const std::size_t to = indexOf(outgoing.to);
            if (cuts_.count({from, to}) > 0)
                continue;
            const int copies
                = (chance() < faults.loss ? 0 : 1) + (chance() < faults.repeat ? 1 : 0);
            for (int copy = 0; copy < copies; ++copy) {
                const auto late = std::chrono::duration_cast<units::Duration>(
                    faults.delay + faults.jitter * chance());
                queue_.emplace(clock_.now() + late, std::pair(to, outgoing.message));
            }
        }
    }
    void deliver(std::size_t to, const PeerMessage &message)
    {
        const auto found = daemons_.find(to);
        if (found == daemons_.end() || !found->second.running)
            return;
        if (found->second.frozen)
            found->second.waiting.push_back(message);
        else
            send(to, found->second.protocol->receive(message));
    }

    units::ManualClock clock_;
    std::mt19937 random_;
    std::size_t listedHosts_;
    std::map<std::size_t, Daemon> daemons_;
    std::multimap<units::TimePoint, std::pair<std::size_t, PeerMessage>> queue_;
    std::set<std::pair<std::size_t, std::size_t>> cuts_;
    std::size_t steps_ = 0;
};

} // namespace monsoongrade::membership

#endif // MONSOONGRADE_TESTS_MEMBERSHIP_FAKEFLEET_H
