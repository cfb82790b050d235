#include "script.h"

#include "simulatedengine.h"

#include <algorithm>
#include <random>

namespace monsoongrade::bench {

namespace {

using scheduling::ClassPolicy;
using std::chrono::seconds;

// A few large workspaces: the first has as much as the last seven.
const std::vector<double> WorkspaceSizes = {7, 4, 2, 1, 1, 1, 1, 1, 1, 1};
constexpr int PrefixesPerClass = 12;

ClassPolicy makeClass(const std::string &name, std::uint32_t tier, double weight,
                      seconds firstToken, seconds whole, seconds maxWait)
{
    return {units::ClassName(name), units::Tier(tier), weight, firstToken, whole, maxWait};
}

Site makeSite(const std::string &name, int engines, const std::vector<ClassPolicy> &classes)
{
    Site site;
    site.name = name;
    site.engines = engines;
    for (const ClassPolicy &config : classes)
        site.policy.classes[config.name] = config;
    for (int i = 0; i < engines; ++i)
        site.policy.endpoints.push_back(
            {units::EndpointId("engine-" + std::to_string(i)), site.slots});
    site.policy.queueLimit = 2000;
    return site;
}

class ScriptWriter
{
public:
    ScriptWriter(const Site &site, std::uint64_t seed)
        : site_(site)
        , random_(seed)
    {
    }

    // Requests of one class worth "load" of the cell's capacity, over a stretch of time.
    void add(const Site::Work &work, double load, double from, double length)
    {
        const double mean = (work.leastTokens + work.mostTokens) / 2.0;
        const double each = SimulatedEngine::slotSeconds(mean, site_.slots);
        const double slotSeconds = load * site_.engines * site_.slots * length;
        std::uniform_real_distribution<double> when(from, from + length);
        std::uniform_int_distribution<int> tokens(work.leastTokens, work.mostTokens);
        std::uniform_int_distribution<std::uint64_t> prefix(1, PrefixesPerClass);
        std::discrete_distribution<int> workspace(WorkspaceSizes.begin(), WorkspaceSizes.end());
        const std::uint64_t firstPrefix = std::hash<std::string>()(work.className) << 8;
        for (int i = 0; i < static_cast<int>(slotSeconds / each); ++i)
            script.requests.push_back({when(random_), work.className,
                                       "workspace-" + std::to_string(workspace(random_)),
                                       firstPrefix + prefix(random_), tokens(random_)});
    }

    void addAll(double load, double from, double length)
    {
        for (const Site::Work &work : site_.work)
            add(work, load * work.share, from, length);
    }

    // Every fortieth answer is far longer than its class's.
    void stretchSome(int tokens)
    {
        for (std::size_t i = 0; i < script.requests.size(); i += 40)
            script.requests[i].tokens = tokens;
    }

    Script script;

private:
    const Site &site_;
    std::mt19937_64 random_;
};

} // namespace

Site touchline()
{
    Site site = makeSite("touchline", 9,
                         {makeClass("summaries", 0, 4, seconds(2), seconds(15), seconds(10)),
                          makeClass("tagging", 1, 2, seconds(10), seconds(40), seconds(30)),
                          makeClass("breakdowns", 2, 1, seconds(30), seconds(90), seconds(60))});
    site.work
        = {{"summaries", 0.15, 20, 60}, {"tagging", 0.25, 40, 120}, {"breakdowns", 0.6, 300, 600}};
    return site;
}

Site tesfaye()
{
    Site site = makeSite("tesfaye", 12,
                         {makeClass("vouchers", 0, 1, seconds(2), seconds(20), seconds(15)),
                          makeClass("bookings", 1, 2, seconds(4), seconds(30), seconds(20)),
                          makeClass("pricing", 2, 1, seconds(20), seconds(120), seconds(60))});
    site.work = {{"vouchers", 0.15, 20, 40}, {"bookings", 0.25, 20, 80}, {"pricing", 0.6, 20, 800}};
    return site;
}

// The three plain services beside the engines, a cell of their own: calls of half a second, as
// answers of a few tokens.
Site serviceOf(Site site, const std::string &name)
{
    site.name = name;
    site.isService = true;
    site.engines = 3;
    site.slots = 16;
    site.policy.endpoints.resize(3);
    for (scheduling::EndpointPolicy &endpoint : site.policy.endpoints)
        endpoint.slots = site.slots;
    for (Site::Work &work : site.work) {
        work.leastTokens = 2;
        work.mostTokens = 10;
    }
    return site;
}

Site touchlinePortal()
{
    return serviceOf(touchline(), "touchline-portal");
}

Site tesfayeDesk()
{
    return serviceOf(tesfaye(), "tesfaye-desk");
}

std::vector<std::string> scriptNames()
{
    return {"same-minute",       "one-class", "long-answer",  "slow-engine",
            "half-speed-engine", "killed",    "top-overload", "lowest-first"};
}

Script makeScript(const std::string &name, const Site &site, std::uint64_t seed)
{
    ScriptWriter writer(site, seed);
    Script &script = writer.script;
    script.name = name;
    if (name == "same-minute" || name == "killed")
        writer.addAll(2.0, 0, 60);
    if (name == "killed") {
        script.schedulerDiesAt = 20;
        script.routerDiesAt = 30;
    }
    if (name == "one-class") {
        writer.addAll(0.5, 0, 60);
        writer.add(site.work[1], 4.0, 10, 10);
    }
    if (name == "long-answer") {
        writer.addAll(0.8, 0, 60);
        writer.stretchSome(3000);
    }
    if (name == "slow-engine" || name == "half-speed-engine") {
        writer.addAll(1.2, 0, 60);
        script.slowFactor = name == "slow-engine" ? 1.0 / 3 : 1.0 / 2;
        script.slowFrom = 10;
        script.slowUntil = 40;
    }
    if (name == "top-overload") {
        writer.add(site.work[0], 2.0, 0, 60);
        writer.add(site.work[1], 0.5, 0, 60);
        writer.add(site.work[2], 0.5, 0, 60);
    }
    if (name == "lowest-first") {
        writer.add(site.work[2], 2.0, 0, 60);
        writer.add(site.work[0], site.work[0].share, 5, 55);
    }
    std::sort(script.requests.begin(), script.requests.end(),
              [](const auto &a, const auto &b) { return a.arrivesAt < b.arrivesAt; });
    return script;
}

} // namespace monsoongrade::bench
