#ifndef MONSOONGRADE_LOAD_LOADSERIES_H
#define MONSOONGRADE_LOAD_LOADSERIES_H

#include <monsoongrade/load/loadresult.h>
#include <monsoongrade/load/loadscript.h>

#include <string>
#include <vector>

namespace monsoongrade::load {

// What became of one class's requests that were first sent within one second of the run.
struct SeriesPoint
{
    int second = 0;
    std::size_t sent = 0;
    std::size_t answered = 0;
    std::size_t attained = 0;
    std::size_t refused = 0;
    std::size_t failed = 0;
    // Of those answered, in seconds.
    double firstTokenP95 = 0;
};

struct ClassSeries
{
    std::string name;
    // Seconds in which nothing was sent are left out.
    std::vector<SeriesPoint> points;
};

std::vector<ClassSeries> makeSeries(const LoadScript &script,
                                    const std::vector<LoadResult> &results);

// True where an answered request kept its class's targets.
bool isAttained(const LoadClass &loadClass, const LoadResult &result);

} // namespace monsoongrade::load

#endif // MONSOONGRADE_LOAD_LOADSERIES_H
