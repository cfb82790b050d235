#include "simulatedpool.h"

#include <algorithm>

namespace monsoongrade::routing {

namespace {

constexpr auto Window = std::chrono::seconds(5);
constexpr std::ptrdiff_t MinUnserved = 10;
constexpr std::ptrdiff_t PartOfArrivals = 12;

} // namespace

bool isUnservedBesideOthers(const SimulatedOutcome &urgent, const SimulatedOutcome &other)
{
    using Arrival = SimulatedOutcome::Arrival;
    const std::vector<Arrival> &arrivals = urgent.arrivals;
    for (auto first = arrivals.begin(); first != arrivals.end(); ++first) {
        const auto last = std::find_if(first, arrivals.end(), [first](const Arrival &each) {
            return each.at >= first->at + Window;
        });
        const auto unserved
            = std::count_if(first, last, [](const Arrival &each) { return each.gotNothing; });
        const bool hasOthers
            = std::any_of(other.beganAt.begin(), other.beganAt.end(), [first](units::TimePoint at) {
                  return at >= first->at && at < first->at + Window;
              });
        if (hasOthers && unserved >= MinUnserved && unserved * PartOfArrivals > last - first)
            return true;
    }
    return false;
}

std::vector<SimulatedClass> burstOfLongPrompts(double share)
{
    using std::chrono::milliseconds;
    SimulatedClass breakdown{
        "breakdown", 4,   1030 * share,       int(2059 * share), 13300,
        3720,        120, milliseconds(1200), milliseconds(800), milliseconds(6400)};
    SimulatedClass tagging{"tagging", 2,  157 * share,       int(1544 * share), 6300,
                           2890,      54, milliseconds(400), milliseconds(300), milliseconds(2400)};
    SimulatedClass summary{
        "summary", 0,   191 * share,       int(833 * share),  350,
        1110,      174, milliseconds(250), milliseconds(200), milliseconds(2000)};
    return {breakdown, tagging, summary};
}

std::vector<SimulatedClass> overloadWithCommonPart()
{
    using std::chrono::milliseconds;
    SimulatedClass report{
        "report",          2, 110, 200, 13300, 3720, 120, milliseconds(2000), milliseconds(1500),
        milliseconds(2700)};
    report.deadline = milliseconds(8000);
    report.commonShare = 1.0 / 3;
    return {report};
}

std::vector<SimulatedClass> overloadOfMixedSizes(double prefillTokensPerMs)
{
    using std::chrono::milliseconds;
    SimulatedClass plan{"plan",
                        4,
                        85 * prefillTokensPerMs / 66,
                        150,
                        5382,
                        6610,
                        380,
                        milliseconds(2000),
                        milliseconds(800),
                        milliseconds(8000)};
    plan.sizeSigma = 1.4;
    plan.maxOwnTokens = 54600;
    plan.deadline = milliseconds(15000);
    return {plan};
}

std::vector<SimulatedClass> longPromptsAmongShortStreams(double endpoints)
{
    using std::chrono::milliseconds;
    const auto scaled = [&](double perEndpoint) {
        return std::max(1, int(perEndpoint * endpoints));
    };
    SimulatedClass longest{"long", 2,   4.0 * endpoints,    scaled(2),          13300,
                           3720,   120, milliseconds(2000), milliseconds(1500), milliseconds(2600)};
    longest.sizeSigma = 0.4;
    longest.maxOwnTokens = 9000;
    longest.deadline = milliseconds(8000);
    SimulatedClass middle{"middle", 1,  3.0 * endpoints,   scaled(2),         6300,
                          2890,     54, milliseconds(600), milliseconds(600), milliseconds(1600)};
    middle.deadline = milliseconds(5000);
    SimulatedClass brief{"short", 0,   9.0 * endpoints,   scaled(2),         350,
                         1110,    174, milliseconds(400), milliseconds(400), milliseconds(3300)};
    brief.deadline = milliseconds(10000);
    return {longest, middle, brief};
}

} // namespace monsoongrade::routing
