#ifndef MONSOONGRADE_TESTS_SCENARIO_RUNNER_CLUSTER_H
#define MONSOONGRADE_TESTS_SCENARIO_RUNNER_CLUSTER_H

#include "clusterplan.h"
#include "process.h"

#include <monsoongrade/endpoints/curlendpointclient.h>
#include <monsoongrade/endpoints/wholeanswer.h>

#include <filesystem>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace monsoongrade::scenarios {

// The processes of one scenario, by the names platform, model-N, service-N, scheduler-N and
// router-N. Errors are thrown as std::runtime_error.
class Cluster
{
public:
    Cluster(ClusterPlan plan, std::filesystem::path programs, std::filesystem::path folder);

    // Starts all and waits until every router is ready.
    void start();
    void startProcess(const std::string &name);
    Process &process(const std::string &name);
    bool has(const std::string &name) const { return processes_.count(name) > 0; }
    // Names of all, or of those that begin so.
    std::vector<std::string> names(const std::string &beginning = {}) const;

    // One name, all whose names begin with what stands before a "*", or both daemons of entry-N.
    std::vector<std::string> chosen(const std::string &name) const;

    // The runner has ended, stopped or frozen it, so that it is not expected to answer.
    void setDown(const std::string &name, bool isDown);
    bool isDown(const std::string &name) const { return down_.count(name) > 0; }

    // Applies a folder with these files and returns the exit code; the output is in a log file.
    int apply(const std::map<std::string, std::string> &files, const std::string &logName);
    void setHostState(const std::string &host, const std::string &state);
    // "http://address:port" of a process that speaks HTTP.
    std::string url(const std::string &name) const;
    endpoints::WholeAnswer call(const std::string &method, const std::string &url,
                                const std::string &body = {},
                                const endpoints::Headers &headers = {});
    // Operators' pages open only with this.
    static endpoints::Headers operatorHeaders();
    // The values on a daemon's metrics page; nothing where the page can't be read, which must not
    // pass for counters that are all 0.
    std::optional<std::map<std::string, double>> metrics(const std::string &daemon);
    void waitForAnswer(const std::string &url);
    std::filesystem::path journal(const std::string &endpoint) const;
    endpoints::EndpointClient &client() { return client_; }
    Relay &relay() { return relay_; }
    const ClusterPlan &plan() const { return plan_; }

private:
    std::vector<std::string> commandOf(const std::string &name) const;
    std::string program(const std::string &name) const;

    const ClusterPlan plan_;
    const std::filesystem::path programs_;
    const std::filesystem::path folder_;
    Subnet subnet_;
    Relay relay_;
    endpoints::CurlEndpointClient client_;
    std::map<std::string, std::unique_ptr<Process>> processes_;
    std::set<std::string> down_;
    std::map<std::string, std::string> hostStates_;
};

} // namespace monsoongrade::scenarios

#endif // MONSOONGRADE_TESTS_SCENARIO_RUNNER_CLUSTER_H
