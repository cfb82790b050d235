#ifndef MONSOONGRADE_LOAD_LOADREPORT_H
#define MONSOONGRADE_LOAD_LOADREPORT_H

#include <monsoongrade/load/loadresult.h>
#include <monsoongrade/load/loadscript.h>
#include <monsoongrade/load/loadseries.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace monsoongrade::load {

// The figures of one class in one run. Times in seconds.
struct ClassReport
{
    std::string name;
    std::size_t sent = 0;
    std::map<std::string, std::size_t> byOutcome;
    std::map<std::string, std::size_t> byReason;
    // Answered with the first token and the whole answer within their targets.
    std::size_t attained = 0;
    std::int64_t tokensDelivered = 0;
    double firstTokenP50 = 0;
    double firstTokenP95 = 0;
    double firstTokenP99 = 0;

    double attainment() const;
};

// What the engines made, by their own count; -1 where they were not asked.
struct EngineTotals
{
    std::int64_t tokensMade = -1;
    std::int64_t runsBegun = -1;
};

struct LoadReport
{
    std::vector<ClassReport> classes;
    EngineTotals engines;
    double seconds = 0;

    std::int64_t tokensDelivered() const;
    // Share of the tokens made that were in no whole answer; negative where not known.
    double wastedShare() const;
    // True where an answer was mixed up, cut short without an error, or lost.
    bool hasBrokenPromise() const;
};

LoadReport makeReport(const LoadScript &script, const std::vector<LoadResult> &results);

// The table for people.
std::string reportTable(const LoadReport &report);
std::string reportJson(const LoadReport &report, const std::vector<ClassSeries> &series,
                       const std::vector<LoadResult> &results);

} // namespace monsoongrade::load

#endif // MONSOONGRADE_LOAD_LOADREPORT_H
