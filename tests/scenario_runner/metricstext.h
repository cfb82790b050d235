#ifndef MONSOONGRADE_TESTS_SCENARIO_RUNNER_METRICSTEXT_H
#define MONSOONGRADE_TESTS_SCENARIO_RUNNER_METRICSTEXT_H

#include <map>
#include <string>

namespace monsoongrade::scenarios {

// The value of each series of a text exposition by name; labels={...} kept as written.
std::map<std::string, double> readMetrics(const std::string &exposition);

// Sum of all series of that name whose labels hold the text.
double metricSum(const std::map<std::string, double> &metrics, const std::string &name,
                 const std::string &labels);

// Sums of a name's series by the value of one label.
std::map<std::string, double> metricByLabel(const std::map<std::string, double> &metrics,
                                            const std::string &name, const std::string &label);

} // namespace monsoongrade::scenarios

#endif // MONSOONGRADE_TESTS_SCENARIO_RUNNER_METRICSTEXT_H
