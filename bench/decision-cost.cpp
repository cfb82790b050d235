#include <monsoongrade/scheduling/cellscheduler.h>
#include <monsoongrade/units/manualclock.h>

#include <algorithm>
#include <chrono>
#include <iomanip>
#include <iostream>
#include <malloc.h>
#include <string>
#include <vector>

namespace monsoongrade::bench {

namespace {

using Stopwatch = std::chrono::steady_clock;

constexpr int Rounds = 20000;
constexpr int Repeats = 5;
constexpr int Endpoints = 8;

// Counts decisions and forgets them.
class CountingSink : public scheduling::DecisionSink
{
public:
    void granted(const scheduling::SlotGrant &grant) override { last = grant.id; }
    void refused(const scheduling::SlotRefusal & /*refusal*/) override { ++refusals; }

    units::GrantId last;
    int refusals = 0;
};

// Keeps a cell at a given backlog: each round one answer ends, which grants a slot to one who
// waits, and a new ask comes.
class Cell
{
public:
    Cell(int waiting, int workspaces)
        : workspaces_(workspaces)
    {
        scheduling::CellPolicy policy;
        for (std::uint32_t tier = 0; tier < 4; ++tier) {
            scheduling::ClassPolicy config;
            config.name = units::ClassName("class-" + std::to_string(tier));
            config.tier = units::Tier(tier);
            config.maxWait = std::chrono::hours(1000);
            policy.classes[config.name] = config;
        }
        for (int i = 0; i < Endpoints; ++i)
            policy.endpoints.push_back({units::EndpointId("engine-" + std::to_string(i)), 8});
        policy.queueLimit = 100000;
        scheduler_.configure(policy);
        for (int i = 0; i < waiting + Endpoints * 8; ++i)
            ask();
    }

    void round()
    {
        clock_.advance(std::chrono::milliseconds(1));
        scheduler_.release({sink_.last, units::TokenCount(80), std::chrono::seconds(2), {}});
        ask();
    }

private:
    void ask()
    {
        const int number = next_++;
        scheduling::SlotAsk ask;
        ask.request = units::RequestId("request-" + std::to_string(number));
        ask.patience = std::chrono::minutes(10);
        ask.router = units::DaemonId("router-" + std::to_string(number % 8));
        ask.className = units::ClassName("class-" + std::to_string(number * 7 % 4));
        ask.workspace = units::WorkspaceName(
            "workspace-" + std::to_string(static_cast<long>(number) * 7919 % workspaces_));
        scheduler_.ask(ask);
    }

    int workspaces_;
    int next_ = 0;
    units::ManualClock clock_;
    CountingSink sink_;
    scheduling::CellScheduler scheduler_{clock_, sink_};
};

double heapBytes()
{
    return static_cast<double>(mallinfo2().uordblks);
}

// Microseconds of an ask with its grant and release: the median of some runs.
void measure(int waiting, int workspaces)
{
    const double before = heapBytes();
    Cell cell(waiting, workspaces);
    const double bytes = (heapBytes() - before) / waiting;
    std::vector<double> times;
    for (int repeat = 0; repeat < Repeats; ++repeat) {
        const Stopwatch::time_point start = Stopwatch::now();
        for (int i = 0; i < Rounds; ++i)
            cell.round();
        const std::chrono::duration<double, std::micro> spent = Stopwatch::now() - start;
        times.push_back(spent.count() / Rounds);
    }
    std::sort(times.begin(), times.end());
    std::cout << "| " << waiting << " | " << workspaces << " | " << std::fixed
              << std::setprecision(2) << times[Repeats / 2] << " (" << times.front() << "-"
              << times.back() << ") | " << std::setprecision(0) << bytes << " |\n";
}

} // namespace

} // namespace monsoongrade::bench

int main()
{
    std::cout << "| waiting | workspaces | us per ask, grant and release: median (least-most) |"
                 " heap bytes per waiting ask |\n|---|---|---|---|\n";
    for (const int workspaces : {10, 4900}) {
        for (const int waiting : {10, 1000, 10000})
            monsoongrade::bench::measure(waiting, workspaces);
    }
    return 0;
}
