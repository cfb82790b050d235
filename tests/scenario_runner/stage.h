#ifndef MONSOONGRADE_TESTS_SCENARIO_RUNNER_STAGE_H
#define MONSOONGRADE_TESTS_SCENARIO_RUNNER_STAGE_H

#include "cluster.h"
#include "journal.h"

#include <monsoongrade/load/loadresult.h>
#include <monsoongrade/load/loadscript.h>

#include <future>
#include <map>
#include <string>
#include <vector>

namespace monsoongrade::scenarios {

// A scenario while it runs: its cluster, the loads that were sent, and what was found wrong.
class Stage
{
public:
    Stage(ClusterPlan plan, std::filesystem::path programs, std::filesystem::path folder);

    Cluster &cluster() { return cluster_; }

    // Sends a load in the background.
    void send(const load::LoadScript &script);
    // Waits for the end of one load, or of all where the name is empty.
    void join(const std::string &name);
    // The results of one load, or of all where the name is empty; joins first.
    std::vector<load::LoadResult> results(const std::string &name);

    void mark(const std::string &name) { marks_[name] = std::chrono::steady_clock::now(); }
    std::chrono::steady_clock::time_point marked(const std::string &name) const;

    // Of one endpoint, or of all where the name is empty.
    std::vector<JournalEntry> journal(const std::string &endpoint = {}) const;

    // Notes a failed expectation and goes on, so that one run shows all of them. Of one step
    // only the first few are printed.
    void fail(const std::string &what, const std::string &expected, const std::string &actual);
    std::size_t failures() const { return failures_; }
    // Set before each step, for the messages.
    void setPlace(const std::string &place);

private:
    Cluster cluster_;
    std::map<std::string, std::future<std::vector<load::LoadResult>>> running_;
    std::map<std::string, std::vector<load::LoadResult>> finished_;
    std::map<std::string, std::chrono::steady_clock::time_point> marks_;
    std::string place_;
    std::size_t failures_ = 0;
    std::size_t failuresHere_ = 0;
};

} // namespace monsoongrade::scenarios

#endif // MONSOONGRADE_TESTS_SCENARIO_RUNNER_STAGE_H
