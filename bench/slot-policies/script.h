#ifndef MONSOONGRADE_BENCH_SCRIPT_H
#define MONSOONGRADE_BENCH_SCRIPT_H

#include <monsoongrade/scheduling/cellpolicy.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace monsoongrade::bench {

// One request as its caller will make it.
struct RequestSpec
{
    double arrivesAt = 0;
    std::string className;
    std::string workspace;
    std::uint64_t prefix = 0;
    int tokens = 0;
};

// A cell as it stands at one of the two users.
struct Site
{
    std::string name;
    int engines = 0;
    int slots = 8;
    scheduling::CellPolicy policy;
    // Share of the capacity that each class asks for, highest tier first, and its lengths.
    struct Work
    {
        std::string className;
        double share = 0;
        int leastTokens = 0;
        int mostTokens = 0;
    };
    std::vector<Work> work;
    // Plain services: short calls.
    bool isService = false;
};

// What happens, the same for each policy: who asks for what, and what breaks when.
struct Script
{
    std::string name;
    std::vector<RequestSpec> requests;
    std::optional<double> schedulerDiesAt;
    std::optional<double> routerDiesAt;
    // The first engine runs at a part of its speed in between, and its report comes late.
    double slowFactor = 1;
    double slowFrom = 0;
    double slowUntil = 0;
};

Site touchline();
Site tesfaye();
Site touchlinePortal();
Site tesfayeDesk();

// Names of all scripts, and one of them for a site, from a seed.
std::vector<std::string> scriptNames();
Script makeScript(const std::string &name, const Site &site, std::uint64_t seed);

} // namespace monsoongrade::bench

#endif // MONSOONGRADE_BENCH_SCRIPT_H
