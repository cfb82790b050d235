#ifndef MONSOONGRADE_TESTS_SCENARIO_RUNNER_JOURNAL_H
#define MONSOONGRADE_TESTS_SCENARIO_RUNNER_JOURNAL_H

#include <chrono>
#include <filesystem>
#include <string>
#include <vector>

namespace monsoongrade::scenarios {

// One line of an endpoint stand-in's journal of runs.
struct JournalEntry
{
    std::string endpoint;
    // "begun", "resumed", "ended", "cancelled" or "broken".
    std::string event;
    std::chrono::steady_clock::time_point time;
    std::string request;
    // Empty where the request had none.
    std::string key;
};

// All of one endpoint's entries; none where there is no file yet.
std::vector<JournalEntry> readJournal(const std::string &endpoint,
                                      const std::filesystem::path &path);

} // namespace monsoongrade::scenarios

#endif // MONSOONGRADE_TESTS_SCENARIO_RUNNER_JOURNAL_H
