// What callers get in a burst of cold long prompts beside streams with short pauses, with and
// without waiting at the placing host and kept endpoints. Simulated engines and time; the
// decision's own time is not simulated. Arguments: endpoints (default 60), seconds (default 9).

#include <routing/simulatedpool.h>

#include <cstdlib>
#include <iostream>

namespace {

using namespace monsoongrade::routing;

void report(const char *name, const SimulatedPool::Options &options)
{
    const double share = double(options.endpoints) / 60;
    SimulatedPool pool(options, burstOfLongPrompts(share));
    const auto begin = std::chrono::steady_clock::now();
    const auto outcomes = pool.play();
    const std::chrono::duration<double> took = std::chrono::steady_clock::now() - begin;
    std::cout << name << " (" << took.count() << " s to play)\n";
    for (const auto &[kind, outcome] : outcomes)
        std::cout << "  " << kind << ": asked " << outcome.asked << ", on time " << outcome.onTime
                  << ", first event late " << outcome.firstLate << ", paused " << outcome.paused
                  << ", refused " << outcome.refused << ", left " << outcome.left << '\n';
}

} // namespace

int main(int argc, char **argv)
{
    SimulatedPool::Options options;
    if (argc > 1)
        options.endpoints = std::atoi(argv[1]);
    if (argc > 2)
        options.length = std::chrono::seconds(std::atoi(argv[2]));
    report("as built", options);
    options.keepsEndpoints = false;
    report("no kept endpoints", options);
    options.mayWait = false;
    report("no kept endpoints, no waiting", options);
    return 0;
}
