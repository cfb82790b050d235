#ifndef MONSOONGRADE_TESTS_DUTIES_DUTYWORLDHOST_H
#define MONSOONGRADE_TESTS_DUTIES_DUTYWORLDHOST_H

#include "dutyworld.h"

#include <memory>
#include <optional>
#include <string>

namespace monsoongrade::duties {

// One life of one machine: a restart makes a new one in the same place.
class DutyWorld::Host : public units::Clock,
                        public LeaseStore,
                        public UsageReportStore,
                        public DutyPlatform,
                        public Duty
{
public:
    // Clocks of hosts differ in speed by at most this share.
    static constexpr double MaxDrift = 0.005;

    Host(DutyWorld &world, int machineToBe, int life)
        : machine(machineToBe)
        , startedAt(world.now_)
        , world_(world)
        , speed_(1 + MaxDrift * (world.between(0, 2000).count() / 1e9 - 1))
        , ledger("host-" + std::to_string(machineToBe) + "/" + std::to_string(life))
        , telling(std::to_string(machineToBe))
    {
        Lease::Settings lease{ledger.sourceId(), LeaseDuration,
                              world.settings_.pausesAfterLoss ? LeaseDuration : units::Duration()};
        holder = std::make_unique<DutyRunner>(lease, *this, *this);
        reporting = std::make_unique<UsageReporter>(world.windows_, ledger, wallTime, *this, *this,
                                                    *this);
        holder->add(*reporting);
        holder->add(*this);
    }

    units::TimePoint now() const override
    {
        return units::TimePoint(
            units::Duration(std::int64_t(double(world_.now_.time_since_epoch().count()) * speed_)));
    }

    void read(LeaseStore::Done done) override
    {
        ++world_.staleReads_;
        auto answer = std::make_shared<LeaseCallResult>();
        world_.storeCall(
            *this, [this, answer] { show(*answer); },
            [answer, done](bool isAnswered) { done(isAnswered ? *answer : LeaseCallResult{}); });
    }
    void create(const LeaseRecord &record, LeaseStore::Done done) override
    {
        write(record, std::nullopt, std::move(done));
    }
    void replace(const LeaseRecord &record, routing::Revision expected,
                 LeaseStore::Done done) override
    {
        write(record, expected, std::move(done));
    }

    void createOrRead(WindowNumber window, const UsageCounts &counts,
                      UsageReportStore::Done done) override
    {
        ++world_.storeCalls_;
        auto fixed = std::make_shared<UsageCounts>(counts);
        world_.storeCall(
            *this,
            [this, window, fixed] {
                if (world_.settings_.fixesReports)
                    *fixed = world_.fixed_.emplace(window, *fixed).first->second;
            },
            [fixed, done](bool isAnswered) {
                done(isAnswered ? std::optional<UsageCounts>(*fixed) : std::nullopt);
            });
    }
    void remove(WindowNumber window) override { world_.fixed_.erase(window); }

    void reportUsage(FencingToken token, WindowNumber window, const UsageCounts &counts,
                     DutyPlatform::Done done) override
    {
        world_.platformCall(
            *this,
            [this, token, window, counts] { world_.onUsageCall(machine, token, window, counts); },
            [done](bool isAnswered) {
                done(isAnswered ? CallOutcome::Accepted : CallOutcome::NoAnswer);
            });
    }

    void orderWorkers(FencingToken, const WorkerOrder &, DutyPlatform::Done) override { }

    // A second duty that acts each time it may, so that a host that may not act is noticed.
    void act(FencingToken token) override
    {
        ++openActs_;
        world_.platformCall(
            *this, [this, token] { world_.noteAct(machine, token); },
            [this](bool) { --openActs_; });
    }
    bool hasOpenCall() const override { return openActs_ > 0; }

    const int machine;
    const units::TimePoint startedAt;
    units::TimePoint endedAt{};
    bool isAlive = true;
    bool isStopping = false;
    units::TimePoint frozenUntil{};

private:
    void show(LeaseCallResult &answer)
    {
        answer.outcome
            = world_.lease_ ? LeaseCallResult::Outcome::Stored : LeaseCallResult::Outcome::Missing;
        if (world_.lease_)
            answer.stored = *world_.lease_;
    }

    void write(LeaseRecord record, std::optional<routing::Revision> expected, LeaseStore::Done done)
    {
        ++world_.storeCalls_;
        if (!world_.settings_.countsTokens)
            record.token = FencingToken(1);
        auto answer = std::make_shared<LeaseCallResult>();
        world_.storeCall(
            *this,
            [this, record, expected, answer] {
                const bool applies = expected
                    ? world_.lease_ && world_.lease_->revision == *expected
                    : !world_.lease_;
                if (applies)
                    world_.lease_ = StoredLease{record, routing::Revision(++world_.revision_)};
                show(*answer);
            },
            [answer, done](bool isAnswered) { done(isAnswered ? *answer : LeaseCallResult{}); });
    }

    DutyWorld &world_;
    double speed_;
    int openActs_ = 0;

public:
    UsageLedger ledger;
    UsagePublisher telling;
    units::TimePoint toldAt{};
    WallTimeEstimate wallTime;
    std::unique_ptr<DutyRunner> holder;
    std::unique_ptr<UsageReporter> reporting;
};

} // namespace monsoongrade::duties

#endif // MONSOONGRADE_TESTS_DUTIES_DUTYWORLDHOST_H
