#ifndef MONSOONGRADE_LOAD_BARPLOT_H
#define MONSOONGRADE_LOAD_BARPLOT_H

#include <string>
#include <vector>

namespace monsoongrade::load {

// Bars that stand together under one label, one for each series in its order.
struct BarGroup
{
    std::string label;
    std::vector<double> percents;
};

// One chart, from 0 to 100 percent.
struct BarChart
{
    std::string title;
    std::vector<BarGroup> groups;
};

// An SVG picture of charts in so many columns, with the names of the series above them.
std::string plotBarsSvg(const std::vector<BarChart> &charts, const std::vector<std::string> &series,
                        int columns);

} // namespace monsoongrade::load

#endif // MONSOONGRADE_LOAD_BARPLOT_H
