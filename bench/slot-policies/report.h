#ifndef MONSOONGRADE_BENCH_REPORT_H
#define MONSOONGRADE_BENCH_REPORT_H

#include "fleet.h"
#include "result.h"

#include <ostream>
#include <string>
#include <vector>

namespace monsoongrade::bench {

// One script on one site with one policy, and a result for each seed from
// the first on.
struct Line
{
    std::string site;
    std::string script;
    std::string policy;
    int routers = 0;
    int firstSeed = 1;
    std::vector<Result> results;
};

std::string policyName(PolicyKind kind);

// Collects lines and writes them as a text table of medians with the spread, and as JSON with
// every run.
class Report
{
public:
    void add(Line line) { lines_.push_back(std::move(line)); }
    void print(std::ostream &out) const;
    std::string json() const;

private:
    std::vector<Line> lines_;
};

} // namespace monsoongrade::bench

#endif // MONSOONGRADE_BENCH_REPORT_H
