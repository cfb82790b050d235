#include <membership/fakefleet.h>

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

namespace monsoongrade::membership {

namespace {

constexpr std::size_t Hosts = 6;
// Bounds that docs/design/membership.md states.
constexpr auto SuspectedWithin = 12s;
constexpr auto AgreeWithin = 25s;

// The oracle: what each daemon's process really is.
struct FleetModel
{
    struct HostModel
    {
        bool running = true;
        bool frozen = false;
        bool leaving = false;
    };
    std::vector<HostModel> hosts = std::vector<HostModel>(Hosts);
    bool cut = false;
    bool lossy = false;

    bool isCalm() const
    {
        for (const HostModel &host : hosts) {
            if (host.frozen)
                return false;
        }
        return !cut;
    }
    std::size_t up() const
    {
        std::size_t count = 0;
        for (const HostModel &host : hosts)
            count += host.running && !host.frozen ? 1 : 0;
        return count;
    }
};

// The fleet, and every leaving mark that any daemon has held of any life.
struct WatchedFleet
{
    FakeFleet fleet{Hosts};
    std::map<std::tuple<std::size_t, std::uint64_t, std::size_t, std::uint64_t>, bool> leaving;

    void run(units::Duration time)
    {
        for (auto left = time; left > 0s; left -= 500ms) {
            fleet.run(500ms);
            checkLeavingStays();
        }
    }
    void checkLeavingStays()
    {
        for (const auto &[observer, daemon] : fleet.daemons()) {
            for (std::size_t i = 0; i < Hosts; ++i) {
                const MemberRecord *record = daemon.protocol->find(FakeFleet::id(i));
                if (record == nullptr)
                    continue;
                bool &held = leaving[{observer, daemon.protocol->self().life, i, record->life}];
                RC_ASSERT(!held || record->leaving);
                held = record->leaving;
            }
        }
    }
};

using Command = rc::state::Command<FleetModel, WatchedFleet>;

struct OnHost : Command
{
    OnHost()
        : host(*rc::gen::inRange<std::size_t>(0, Hosts))
    {
    }
    explicit OnHost(std::size_t onHost)
        : host(onHost)
    {
    }
    std::size_t host;
};

struct Leave : OnHost
{
    using OnHost::OnHost;
    void checkPreconditions(const FleetModel &model) const override
    {
        RC_PRE(model.hosts[host].running && !model.hosts[host].frozen);
    }
    void apply(FleetModel &model) const override { model.hosts[host].leaving = true; }
    void run(const FleetModel &, WatchedFleet &sut) const override
    {
        sut.fleet.protocol(host).leave();
        sut.run(1s);
    }
    void show(std::ostream &out) const override { out << "Leave(" << host << ")"; }
};

struct Kill : OnHost
{
    using OnHost::OnHost;
    void checkPreconditions(const FleetModel &model) const override
    {
        RC_PRE(model.hosts[host].running && model.up() > 2);
    }
    void apply(FleetModel &model) const override { model.hosts[host] = {false, false, false}; }
    void run(const FleetModel &model, WatchedFleet &sut) const override
    {
        sut.fleet.kill(host);
        if (!model.isCalm()) {
            sut.run(1s);
            return;
        }
        sut.run(SuspectedWithin);
        RC_ASSERT(sut.fleet.all(
            host, [&](std::size_t i) { return sut.fleet.healthOf(host, i) != Health::Alive; }));
    }
    void show(std::ostream &out) const override { out << "Kill(" << host << ")"; }
};

struct Start : OnHost
{
    using OnHost::OnHost;
    void checkPreconditions(const FleetModel &model) const override
    {
        RC_PRE(!model.hosts[host].running);
    }
    void apply(FleetModel &model) const override { model.hosts[host] = {true, false, false}; }
    void run(const FleetModel &, WatchedFleet &sut) const override
    {
        sut.fleet.start(host);
        sut.run(1s);
    }
    void show(std::ostream &out) const override { out << "Start(" << host << ")"; }
};

struct Freeze : OnHost
{
    using OnHost::OnHost;
    void checkPreconditions(const FleetModel &model) const override
    {
        RC_PRE(model.hosts[host].running && !model.hosts[host].frozen && model.up() > 2);
    }
    void apply(FleetModel &model) const override { model.hosts[host].frozen = true; }
    void run(const FleetModel &, WatchedFleet &sut) const override
    {
        sut.fleet.freeze(host);
        sut.run(4s);
    }
    void show(std::ostream &out) const override { out << "Freeze(" << host << ")"; }
};

struct Wake : OnHost
{
    using OnHost::OnHost;
    void checkPreconditions(const FleetModel &model) const override
    {
        RC_PRE(model.hosts[host].frozen);
    }
    void apply(FleetModel &model) const override { model.hosts[host].frozen = false; }
    void run(const FleetModel &, WatchedFleet &sut) const override
    {
        sut.fleet.wake(host);
        sut.run(1s);
    }
    void show(std::ostream &out) const override { out << "Wake(" << host << ")"; }
};

struct CutOneWay : OnHost
{
    CutOneWay()
        : other(*rc::gen::inRange<std::size_t>(0, Hosts))
    {
    }
    CutOneWay(std::size_t from, std::size_t to)
        : OnHost(from)
        , other(to)
    {
    }
    void checkPreconditions(const FleetModel &model) const override
    {
        RC_PRE(host != other && model.up() == Hosts && !model.cut && !model.lossy);
    }
    void apply(FleetModel &model) const override { model.cut = true; }
    // The two still reach each other through the rest, so nobody may hold either dead.
    void run(const FleetModel &, WatchedFleet &sut) const override
    {
        sut.run(AgreeWithin);
        sut.fleet.cutLink(host, other);
        sut.run(15s);
        RC_ASSERT(sut.fleet.all(
            host, [&](std::size_t i) { return sut.fleet.healthOf(host, i) != Health::Dead; }));
        RC_ASSERT(sut.fleet.all(
            other, [&](std::size_t i) { return sut.fleet.healthOf(other, i) != Health::Dead; }));
    }
    void show(std::ostream &out) const override
    {
        out << "CutOneWay(" << host << " to " << other << ")";
    }

    std::size_t other;
};

struct Isolate : OnHost
{
    using OnHost::OnHost;
    void checkPreconditions(const FleetModel &model) const override { RC_PRE(!model.cut); }
    void apply(FleetModel &model) const override { model.cut = true; }
    void run(const FleetModel &, WatchedFleet &sut) const override
    {
        for (std::size_t i = 0; i < Hosts; ++i) {
            sut.fleet.cutLink(host, i);
            sut.fleet.cutLink(i, host);
        }
        sut.run(10s);
    }
    void show(std::ostream &out) const override { out << "Isolate(" << host << ")"; }
};

struct Lossy : Command
{
    Lossy()
        : loss(*rc::gen::element(0.0, 0.01, 0.05))
        , repeat(*rc::gen::element(0.0, 0.1))
    {
    }
    Lossy(double lossShare, double repeatShare)
        : loss(lossShare)
        , repeat(repeatShare)
    {
    }
    void apply(FleetModel &model) const override { model.lossy = loss > 0; }
    void run(const FleetModel &, WatchedFleet &sut) const override
    {
        sut.fleet.faults = {loss, repeat, 5ms, 60ms};
        sut.run(2s);
    }
    void show(std::ostream &out) const override
    {
        out << "Lossy(" << loss << ", " << repeat << ")";
    }

    double loss;
    double repeat;
};

// The faults end: every daemon must come to know every other as it is.
struct Settle : Command
{
    void apply(FleetModel &model) const override
    {
        for (auto &host : model.hosts)
            host.frozen = false;
        model.cut = false;
        model.lossy = false;
    }
    void run(const FleetModel &model, WatchedFleet &sut) const override
    {
        sut.fleet.mendLinks();
        sut.fleet.faults = {};
        for (std::size_t i = 0; i < Hosts; ++i)
            sut.fleet.wake(i);
        sut.run(AgreeWithin);
        for (std::size_t i = 0; i < Hosts; ++i) {
            for (std::size_t j = 0; j < Hosts; ++j) {
                if (i == j || !model.hosts[j].running)
                    continue;
                const bool alive = sut.fleet.healthOf(i, j) == Health::Alive;
                RC_ASSERT(alive == model.hosts[i].running);
                if (!alive)
                    continue;
                const MemberRecord *record = sut.fleet.protocol(j).find(FakeFleet::id(i));
                RC_ASSERT(record->leaving == model.hosts[i].leaving);
                RC_ASSERT(record->life == sut.fleet.protocol(i).self().life);
            }
        }
    }
    void show(std::ostream &out) const override { out << "Settle"; }
};

using Commands = std::vector<std::shared_ptr<const Command>>;

template <typename C, typename... Arguments>
std::shared_ptr<const Command> make(Arguments... arguments)
{
    return std::make_shared<C>(arguments...);
}

// Settles at the end; a broken promise throws.
void replay(const Commands &commands)
{
    FleetModel model;
    WatchedFleet sut;
    sut.run(3s);
    for (const auto &command : commands) {
        command->run(model, sut);
        command->apply(model);
    }
    Settle().run(model, sut);
}

} // namespace

TEST_CASE("MembershipProtocol.TwoLeftOfSixFindEachOtherAfterACut")
{
    // Found with seed 2. The last two hosts that run would stay apart: each holds all others
    // dead, and asked one of the five at random every two seconds.
    CHECK_NOTHROW(replay({make<CutOneWay>(5, 0), make<Kill>(2), make<Settle>(), make<Kill>(0),
                          make<Kill>(4), make<Settle>(), make<Settle>(), make<Settle>(),
                          make<Settle>(), make<Isolate>(5), make<Kill>(1)}));
}

TEST_CASE("MembershipProtocol.ThreeLeftOfSixFindEachOtherAfterACut")
{
    // Found with seed 1; the same fault by another way, with loss and a frozen host before.
    CHECK_NOTHROW(replay({make<Lossy>(0.0, 0.0), make<Isolate>(2), make<Kill>(3), make<Leave>(4),
                          make<Kill>(2), make<Settle>(), make<Settle>(), make<Leave>(0),
                          make<Settle>(), make<Lossy>(0.0, 0.1), make<Lossy>(0.05, 0.0),
                          make<Settle>(), make<Freeze>(5), make<Isolate>(0), make<Settle>(),
                          make<Isolate>(5), make<Kill>(1), make<Lossy>(0.01, 0.0)}));
}

TEST_CASE("MembershipProtocol.KeepsItsPromisesUnderRandomFaults")
{
    // Callers would be sent to hosts that are gone or leaving, or kept from healthy ones.
    // Daemons are killed, started, frozen, cut off one way and both, told to leave; messages are
    // lost, repeated and overtaken. The oracle knows what each daemon really is.
    CHECK(rc::check("membership under random faults", [] {
        WatchedFleet sut;
        sut.run(3s);
        rc::state::check(FleetModel(), sut,
                         rc::state::gen::execOneOfWithArgs<Leave, Kill, Start, Freeze, Wake,
                                                           CutOneWay, Isolate, Lossy, Settle>());
        FleetModel last;
        for (std::size_t i = 0; i < Hosts; ++i) {
            last.hosts[i].running = sut.fleet.daemons().at(i).running;
            last.hosts[i].leaving = sut.fleet.protocol(i).self().leaving;
        }
        Settle().run(last, sut);
    }));
}

TEST_CASE("MemberRecord.MergesToTheSameInAnyOrder")
{
    // Daemons that heard the same news would differ for good if their order counted.
    CHECK(rc::check("merge is commutative, associative and idempotent", [] {
        const auto anyRecord = [] {
            MemberRecord record;
            record.id = FakeFleet::id(1);
            record.life = *rc::gen::inRange<std::uint64_t>(0, 3);
            record.refutation = *rc::gen::inRange<std::uint32_t>(0, 3);
            record.health = *rc::gen::element(Health::Alive, Health::Suspected, Health::Dead);
            record.leaving = *rc::gen::arbitrary<bool>();
            return record;
        };
        const auto merged = [](std::vector<MemberRecord> records) {
            for (std::size_t i = 1; i < records.size(); ++i)
                mergeInto(records[0], records[i]);
            return std::tuple(records[0].life, records[0].refutation, records[0].health,
                              records[0].leaving);
        };
        const auto a = anyRecord();
        const auto b = anyRecord();
        const auto c = anyRecord();
        RC_ASSERT(merged({a, b}) == merged({b, a}));
        RC_ASSERT(merged({a, b, c}) == merged({c, a, b}));
        RC_ASSERT(merged({a, b, b, a}) == merged({a, b}));
    }));
}

} // namespace monsoongrade::membership
