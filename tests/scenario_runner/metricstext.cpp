#include "metricstext.h"

#include <cstdlib>
#include <sstream>

namespace monsoongrade::scenarios {

namespace {

std::string nameOf(const std::string &series)
{
    return series.substr(0, series.find('{'));
}

} // namespace

std::map<std::string, double> readMetrics(const std::string &exposition)
{
    std::map<std::string, double> metrics;
    std::istringstream in(exposition);
    std::string line;
    while (std::getline(in, line)) {
        const std::size_t space = line.rfind(' ');
        if (line.empty() || line[0] == '#' || space == std::string::npos)
            continue;
        metrics[line.substr(0, space)] = std::strtod(line.c_str() + space, nullptr);
    }
    return metrics;
}

double metricSum(const std::map<std::string, double> &metrics, const std::string &name,
                 const std::string &labels)
{
    double sum = 0;
    for (const auto &[series, value] : metrics) {
        if (nameOf(series) == name && series.find(labels) != std::string::npos)
            sum += value;
    }
    return sum;
}

std::map<std::string, double> metricByLabel(const std::map<std::string, double> &metrics,
                                            const std::string &name, const std::string &label)
{
    std::map<std::string, double> sums;
    const std::string start = label + "=\"";
    for (const auto &[series, value] : metrics) {
        const std::size_t at = series.find(start);
        if (nameOf(series) != name || at == std::string::npos)
            continue;
        const std::size_t from = at + start.size();
        sums[series.substr(from, series.find('"', from) - from)] += value;
    }
    return sums;
}

} // namespace monsoongrade::scenarios
