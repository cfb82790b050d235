#ifndef MONSOONGRADE_TESTS_SCENARIO_RUNNER_PROCESS_H
#define MONSOONGRADE_TESTS_SCENARIO_RUNNER_PROCESS_H

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace monsoongrade::scenarios {

// A process that the runner started; it is killed at the latest when this object ends.
class Process
{
public:
    // Output is appended to the log file. Throws std::runtime_error.
    Process(const std::vector<std::string> &arguments, const std::string &logPath);
    ~Process();
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    // Nothing happens where the process has ended.
    void signal(int number);
    // The exit code, 128 + N for a death by signal N, or nothing while it runs.
    std::optional<int> exitCode();
    // Waits for the end, at most so long.
    std::optional<int> waitForExit(std::chrono::milliseconds limit);
    const std::vector<std::string> &arguments() const { return arguments_; }

    // Kills every process that is still running, for the end in an emergency.
    static void killAll();

private:
    std::vector<std::string> arguments_;
    pid_t pid_ = 0;
    std::optional<int> exitCode_;
};

} // namespace monsoongrade::scenarios

#endif // MONSOONGRADE_TESTS_SCENARIO_RUNNER_PROCESS_H
