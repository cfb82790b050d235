#ifndef MONSOONGRADE_TESTS_DUTIES_SIMULATEDHOST_H
#define MONSOONGRADE_TESTS_DUTIES_SIMULATEDHOST_H

#include "dutysimulation.h"

#include <memory>
#include <optional>
#include <string>

namespace monsoongrade::duties {

// One process run on one machine; a restart replaces it with a new object.
class DutySimulation::Host : public units::Clock,
                             public LeaseStore,
                             public UsageReportStore,
                             public DutyPlatform,
                             public Duty
{
public:
    // Maximum difference in speed between the clocks of hosts, as a share.
    static constexpr double MaxClockDrift = 0.005;

    Host(DutySimulation &simulation, int machineIndex, int runId)
        : machine(machineIndex)
        , startedAt(simulation.now_)
        , simulation_(simulation)
        , speed_(1 + MaxClockDrift * (simulation.between(0, 2000).count() / 1e9 - 1))
        , ledger("host-" + std::to_string(machineIndex) + "/" + std::to_string(runId))
        , publisher(std::to_string(machineIndex))
    {
        Lease::Settings lease{ledger.sourceId(), LeaseDuration,
                              simulation.settings_.delaysReacquire ? LeaseDuration
                                                                   : units::Duration()};
        holder = std::make_unique<DutyRunner>(lease, *this, *this);
        reporting = std::make_unique<UsageReporter>(simulation.windows_, ledger, wallTime, *this,
                                                    *this, *this);
        holder->add(*reporting);
        holder->add(*this);
    }

    units::TimePoint now() const override
    {
        return units::TimePoint(units::Duration(
            std::int64_t(double(simulation_.now_.time_since_epoch().count()) * speed_)));
    }

    void read(LeaseStore::Done done) override
    {
        ++simulation_.staleReads_;
        auto answer = std::make_shared<LeaseCallResult>();
        simulation_.storeCall(
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
        ++simulation_.storeCalls_;
        auto stored = std::make_shared<UsageCounts>(counts);
        simulation_.storeCall(
            *this,
            [this, window, stored] {
                if (simulation_.settings_.storesReports)
                    *stored = simulation_.storedReports_.emplace(window, *stored).first->second;
            },
            [stored, done](bool isAnswered) {
                done(isAnswered ? std::optional<UsageCounts>(*stored) : std::nullopt);
            });
    }
    void remove(WindowNumber window) override { simulation_.storedReports_.erase(window); }

    void reportUsage(FencingToken token, WindowNumber window, const UsageCounts &counts,
                     DutyPlatform::Done done) override
    {
        simulation_.platformCall(
            *this,
            [this, token, window, counts] {
                simulation_.onUsageCall(machine, token, window, counts);
            },
            [done](bool isAnswered) {
                done(isAnswered ? CallOutcome::Accepted : CallOutcome::NoAnswer);
            });
    }

    void orderWorkers(FencingToken, const WorkerOrder &, DutyPlatform::Done) override { }

    // A second duty that makes a call at each opportunity, to detect a host that acts without the
    // lease.
    void act(FencingToken token) override
    {
        ++openActs_;
        simulation_.platformCall(
            *this, [this, token] { simulation_.recordAct(machine, token); },
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
        answer.outcome = simulation_.lease_ ? LeaseCallResult::Outcome::Stored
                                            : LeaseCallResult::Outcome::Missing;
        if (simulation_.lease_)
            answer.stored = *simulation_.lease_;
    }

    void write(LeaseRecord record, std::optional<routing::Revision> expected, LeaseStore::Done done)
    {
        ++simulation_.storeCalls_;
        if (!simulation_.settings_.incrementsTokens)
            record.token = FencingToken(1);
        auto answer = std::make_shared<LeaseCallResult>();
        simulation_.storeCall(
            *this,
            [this, record, expected, answer] {
                const bool applies = expected
                    ? simulation_.lease_ && simulation_.lease_->revision == *expected
                    : !simulation_.lease_;
                if (applies)
                    simulation_.lease_
                        = StoredLease{record, routing::Revision(++simulation_.revision_)};
                show(*answer);
            },
            [answer, done](bool isAnswered) { done(isAnswered ? *answer : LeaseCallResult{}); });
    }

    DutySimulation &simulation_;
    double speed_;
    int openActs_ = 0;

public:
    UsageLedger ledger;
    UsagePublisher publisher;
    units::TimePoint lastSentAt{};
    WallTimeEstimate wallTime;
    std::unique_ptr<DutyRunner> holder;
    std::unique_ptr<UsageReporter> reporting;
};

} // namespace monsoongrade::duties

#endif // MONSOONGRADE_TESTS_DUTIES_SIMULATEDHOST_H
