#include <configuration/fakestore.h>

#include <monsoongrade/configuration/configurationupdater.h>

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

namespace monsoongrade::configuration {

using units::ResultCode;

namespace {

constexpr std::size_t Daemons = 3;
constexpr int Owners = 3;

std::string fileOf(int owner)
{
    return std::string(1, static_cast<char>('a' + owner)) + ".yaml";
}

// Owners' files are valid together unless two of them name the same class.
std::string textOf(int owner, int value)
{
    return "classes:\n  - name: class-" + std::to_string(owner) + "-" + std::to_string(value)
        + "\n";
}

// A daemon: its updater, and the other daemons as its peers.
struct Daemon : ConfigurationPeers
{
    Daemon(FakeStore &store, std::vector<std::unique_ptr<Daemon>> &all)
        : peers(all)
        , updater(store, *this, contents, holder)
    {
    }
    bool isWatcher() override { return true; }
    bool hasNewer() override { return false; }
    units::Result<ManifestContents> fetch(units::Generation above, const TextByHash &) override
    {
        for (const auto &other : peers) {
            if (other.get() != this && other->contents.current()->manifest.generation > above)
                return *other->contents.current();
        }
        return units::fail(ResultCode::NoConfiguration, "nobody has a newer one");
    }
    void inForce(units::Generation generation) override
    {
        RC_ASSERT(generation > reported);
        reported = generation;
    }

    std::vector<std::unique_ptr<Daemon>> &peers;
    ConfigurationContents contents;
    ConfigurationHolder holder;
    units::Generation reported;
    ConfigurationUpdater updater;
};

// The oracle: each file that was accepted, and a change whose outcome its author doesn't know.
struct World
{
    FakeStore store;
    std::map<std::string, std::string> accepted;
    std::vector<std::unique_ptr<Daemon>> daemons;
    int changes = 0;

    World()
    {
        for (std::size_t i = 0; i < Daemons; ++i)
            daemons.push_back(std::make_unique<Daemon>(store, daemons));
    }
    Manifest truth()
    {
        const int stale = std::exchange(store.staleReads, 0);
        const int outage = std::exchange(store.outageCalls, 0);
        const auto read = units::capture([&] { return ConfigurationStore(store).manifest(); });
        store.staleReads = stale;
        store.outageCalls = outage;
        return *read.value;
    }
    // The change is all or nothing, and exactly what its author was told.
    void note(const std::map<std::string, std::string> &changed,
              const units::Outcome<ConfigurationStore::Applied> &told)
    {
        const Manifest now = truth();
        auto with = accepted;
        for (const auto &[name, hash] : changed) {
            if (hash.empty())
                with.erase(name);
            else
                with[name] = hash;
        }
        const bool isAccepted = told.value && told.value->problems.empty();
        const bool isUnknown = !told.value && told.error.code == ResultCode::OutcomeUnknown;
        if (isAccepted || (isUnknown && now.contentHashByFile == with))
            accepted = with;
        RC_ASSERT(now.contentHashByFile == accepted);
    }
    void apply(int owner, int value)
    {
        const SourceFile file{fileOf(owner), textOf(owner, value)};
        const std::string id = std::to_string(++changes);
        const auto told = units::capture(
            [&] { return ConfigurationStore(store, [](auto) {}).apply({file}, id); });
        note({{file.name, contentHash(file.text)}}, told);
    }
};

struct NoModel
{
};
using Command = rc::state::Command<NoModel, World>;

struct Apply : Command
{
    int owner = *rc::gen::inRange(0, Owners);
    int value = *rc::gen::inRange(0, 4);
    void run(const NoModel &, World &sut) const override { sut.apply(owner, value); }
    void show(std::ostream &out) const override { out << "Apply(" << owner << "," << value << ")"; }
};

struct Race : Command
{
    int owner = *rc::gen::inRange(0, Owners);
    int other = *rc::gen::inRange(0, Owners);
    void run(const NoModel &, World &sut) const override
    {
        sut.store.beforeUpdate = [&] {
            sut.apply(other, 5);
        };
        sut.apply(owner, 6);
        sut.store.beforeUpdate = {};
    }
    void show(std::ostream &out) const override { out << "Race(" << owner << "," << other << ")"; }
};

struct ApplyInvalid : Command
{
    int owner = *rc::gen::inRange(0, Owners);
    void run(const NoModel &, World &sut) const override
    {
        const SourceFile file{fileOf(owner), "classes:\n  - nmae: x\n"};
        const std::string id = std::to_string(++sut.changes);
        const auto told = units::capture(
            [&] { return ConfigurationStore(sut.store, [](auto) {}).apply({file}, id); });
        RC_ASSERT(!told.value || !told.value->problems.empty());
        sut.note({}, told);
    }
    void show(std::ostream &out) const override { out << "ApplyInvalid(" << owner << ")"; }
};

struct Remove : Command
{
    int owner = *rc::gen::inRange(0, Owners);
    void run(const NoModel &, World &sut) const override
    {
        const std::string id = std::to_string(++sut.changes);
        const auto told = units::capture(
            [&] { return ConfigurationStore(sut.store, [](auto) {}).remove({fileOf(owner)}, id); });
        sut.note({{fileOf(owner), ""}}, told);
    }
    void show(std::ostream &out) const override { out << "Remove(" << owner << ")"; }
};

struct Faults : Command
{
    int lost = *rc::gen::inRange(0, 3);
    int stale = *rc::gen::inRange(0, 4);
    int outageAfter = *rc::gen::inRange(0, 8);
    int outageCalls = *rc::gen::element(0, 0, 1, 3, 60);
    void run(const NoModel &, World &sut) const override
    {
        sut.store.lostReplies = lost;
        sut.store.staleReads = stale;
        sut.store.outageAfter = outageAfter;
        sut.store.outageCalls = outageCalls;
    }
    void show(std::ostream &out) const override
    {
        out << "Faults(lost " << lost << ", stale " << stale << ", outage of " << outageCalls
            << " after " << outageAfter << ")";
    }
};

struct Update : Command
{
    std::size_t daemon = *rc::gen::inRange<std::size_t>(0, Daemons);
    int from = *rc::gen::inRange(0, 3);
    void run(const NoModel &, World &sut) const override
    {
        auto &updater = sut.daemons[daemon]->updater;
        units::capture([&] {
            return from == 0 ? updater.readStore()
                : from == 1  ? updater.watchStore()
                             : updater.askPeer();
        });
    }
    void show(std::ostream &out) const override
    {
        out << "Update(" << daemon << "," << from << ")";
    }
};

struct Restart : Command
{
    std::size_t daemon = *rc::gen::inRange<std::size_t>(0, Daemons);
    void run(const NoModel &, World &sut) const override
    {
        sut.daemons[daemon] = std::make_unique<Daemon>(sut.store, sut.daemons);
        units::capture([&] { return sut.daemons[daemon]->updater.askPeer(); });
    }
    void show(std::ostream &out) const override { out << "Restart(" << daemon << ")"; }
};

} // namespace

TEST_CASE("Configuration.WhatIsAcceptedIsInForceAndNothingElse")
{
    // An operator would be told "accepted" of a change that is gone, or "refused" of one that
    // is in force, or a daemon would go back to an older configuration. Owners race, replies are
    // lost, reads are stale, the store is out before, during and after; daemons are restarted.
    CHECK(rc::check("changes of configuration under random faults", [] {
        World sut;
        rc::state::check(NoModel(), sut,
                         rc::state::gen::execOneOfWithArgs<Apply, Apply, Race, ApplyInvalid, Remove,
                                                           Faults, Update, Restart>());
        sut.store.lostReplies = 0;
        sut.store.staleReads = 0;
        sut.store.outageCalls = 0;
        units::capture([&] { return sut.daemons[0]->updater.readStore(); });
        for (std::size_t i = 1; i < Daemons; ++i)
            units::capture([&] { return sut.daemons[i]->updater.askPeer(); });
        for (const auto &daemon : sut.daemons)
            RC_ASSERT(daemon->contents.current()->manifest.contentHashByFile == sut.accepted);
    }));
}

} // namespace monsoongrade::configuration
