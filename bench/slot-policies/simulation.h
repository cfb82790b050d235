#ifndef MONSOONGRADE_BENCH_SIMULATION_H
#define MONSOONGRADE_BENCH_SIMULATION_H

#include "fleet.h"
#include "result.h"
#include "script.h"
#include "simulatedengine.h"
#include "timeline.h"

#include <map>
#include <memory>
#include <random>
#include <vector>

namespace monsoongrade::bench {

// Plays one script on one site with one policy. Callers choose a router at random, come back
// when they are told to, at most three times, and give up after two minutes. A router's callers
// notice its death after a second and turn to another one.
class Simulation
{
public:
    Simulation(const Site &site, const Script &script, PolicyKind kind,
               const Fleet::Options &options);
    Result run();

private:
    enum class State { NotYet, Asking, Running, Away, Done };
    struct Caller
    {
        State state = State::NotYet;
        int attempt = 0;
        int router = 0;
        int engine = -1;
        units::TimePoint began;
        double firstTokenAt = -1;
        double doneAt = -1;
        bool completed = false;
    };

    void arrive(std::size_t request);
    void refused(const scheduling::SlotRefusal &refusal);
    void granted(const scheduling::SlotGrant &grant);
    void giveUp(std::size_t request);
    void finish(const SimulatedEngine::Stream &stream);
    void comeBack(std::size_t request, double after);
    void killRouter();
    void planFaults();
    void report();
    void step();
    units::Duration timeLeft(std::size_t request) const;
    units::RequestId idOf(std::size_t request) const;
    bool isCurrent(const units::RequestId &id, std::size_t &request) const;
    Result result() const;
    ClassResult classResult(const units::ClassName &name) const;
    void addBetweenTokens(const units::ClassName &name, ClassResult &result) const;
    bool attained(std::size_t request) const;
    // Attainment of one class's callers who came in between, from a workspace whose number is at
    // least the given one.
    double attainment(const std::string &className, double from, double until,
                      int leastWorkspace) const;

    const Site &site_;
    const Script &script_;
    Timeline timeline_;
    std::mt19937_64 random_;
    Fleet::Options options_;
    std::vector<SimulatedEngine> engines_;
    std::vector<Caller> callers_;
    std::vector<bool> routerLives_;
    std::unique_ptr<Fleet> fleet_;
    std::size_t nextArrival_ = 0;
    std::size_t open_ = 0;
    double useful_ = 0;
    double wasted_ = 0;
    double lost_ = 0;
    std::map<std::string, int> refusals_;
    std::map<units::ClassName, double> tokensGranted_;
    std::map<int, int> returnsPerSecond_;
    std::size_t mostWaiting_ = 0;
};

} // namespace monsoongrade::bench

#endif // MONSOONGRADE_BENCH_SIMULATION_H
