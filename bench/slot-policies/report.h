#ifndef MONSOONGRADE_BENCH_REPORT_H
#define MONSOONGRADE_BENCH_REPORT_H

#include "fleet.h"
#include "result.h"

#include <ostream>
#include <string>
#include <vector>

namespace monsoongrade::bench {

// One script on one site with one policy, and a result for each seed from the first on.
struct Line
{
    std::string site;
    std::string script;
    std::string policy;
    int routers = 0;
    int firstSeed = 1;
    std::vector<Result> results;

    bool isSameSetup(const Line &other) const
    {
        return site == other.site && script == other.script && policy == other.policy
            && routers == other.routers;
    }
};

std::string policyName(PolicyKind kind);

// Collects lines and writes them as text tables of medians with the spread, as JSON with every
// run, and as a picture of the attainment.
class Report
{
public:
    // Takes what json() wrote.
    static Report fromJson(const std::string &text);

    void add(Line line) { lines_.push_back(std::move(line)); }
    void print(std::ostream &out) const;
    std::string json() const;
    // The three policies side by side, by site, tier and script, with six routers; medians.
    std::string svg() const;

private:
    void printAttainment(std::ostream &out) const;
    void printWork(std::ostream &out) const;
    void printCost(std::ostream &out) const;
    const Line *find(const Line &like, const std::string &policy) const;

    std::vector<Line> lines_;
};

} // namespace monsoongrade::bench

#endif // MONSOONGRADE_BENCH_REPORT_H
