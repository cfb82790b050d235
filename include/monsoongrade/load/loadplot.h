#ifndef MONSOONGRADE_LOAD_LOADPLOT_H
#define MONSOONGRADE_LOAD_LOADPLOT_H

#include <monsoongrade/load/loadseries.h>

#include <string>
#include <vector>

namespace monsoongrade::load {

// A moment of the run to be shown, such as a fault.
struct PlotMark
{
    double second = 0;
    std::string label;
};

// An SVG picture of two charts above one another: share of requests that kept their targets, and
// 95th percentile of the time to first token, per class over the second of sending.
std::string plotSvg(const std::vector<ClassSeries> &series, const std::vector<PlotMark> &marks);

} // namespace monsoongrade::load

#endif // MONSOONGRADE_LOAD_LOADPLOT_H
