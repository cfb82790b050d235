#include "chaos.h"
#include "process.h"
#include "scenario.h"

#include <monsoongrade/configuration/folder.h>

#include <CLI/CLI.hpp>

#include <condition_variable>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <mutex>
#include <thread>

#include <unistd.h>

namespace {

using namespace monsoongrade;

constexpr int ExitTooLong = 3;

// Kills everything when the scenario takes too long, whatever it hangs in.
class Watchdog
{
public:
    Watchdog(std::chrono::nanoseconds limit, const std::string &folder)
        : thread_([this, limit, folder] { watch(limit, folder); })
    {
    }

    ~Watchdog()
    {
        {
            const std::lock_guard lock(mutex_);
            ended_ = true;
        }
        changed_.notify_one();
        thread_.join();
    }

private:
    void watch(std::chrono::nanoseconds limit, const std::string &folder)
    {
        std::unique_lock lock(mutex_);
        if (changed_.wait_for(lock, limit, [this] { return ended_; }))
            return;
        scenarios::Process::killAll();
        std::cout << "the scenario has not ended within its limit; logs are in " << folder
                  << std::endl;
        _exit(ExitTooLong);
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    bool ended_ = false;
    std::thread thread_;
};

std::string newFolder()
{
    std::string path
        = (std::filesystem::temp_directory_path() / "monsoongrade-scenario-XXXXXX").string();
    if (mkdtemp(path.data()) == nullptr)
        throw std::runtime_error("can't create " + path);
    return path;
}

int run(const configuration::SourceFile &file, const std::string &programs, bool checkOnly)
{
    configuration::Problems problems;
    const scenarios::Scenario scenario = scenarios::readScenario(file, problems);
    for (const auto &problem : problems)
        std::cout << configuration::describe(problem) << "\n";
    if (!problems.empty())
        return 2;
    if (checkOnly)
        return 0;
    const std::string folder = newFolder();
    const auto begin = std::chrono::steady_clock::now();
    std::size_t failures = 0;
    {
        const Watchdog watchdog(scenario.limit, folder);
        failures = scenarios::runScenario(scenario, programs, folder);
    }
    const std::chrono::duration<double> took = std::chrono::steady_clock::now() - begin;
    if (failures == 0) {
        std::cout << file.name << ": as expected, in " << took.count() << " s\n";
        std::filesystem::remove_all(folder);
        return 0;
    }
    std::cout << file.name << ": " << failures << " expectations failed; logs are in " << folder
              << "\n";
    return 1;
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Runs a scripted scenario on real processes on loopback.", "scenario_runner");
    std::string path;
    std::string programs;
    bool checkOnly = false;
    std::uint64_t seed = 0;
    int seconds = 0;
    std::string trace;
    bool withoutRepeats = false;
    app.add_option("scenario", path, "YAML file; not with --seconds");
    app.add_option("--programs", programs, "folder of the programs")->required();
    app.add_flag("--check", checkOnly, "check the file and exit");
    app.add_option("--seconds", seconds, "run random faults for so long");
    app.add_option("--seed", seed, "of the random faults");
    app.add_option("--trace", trace, "write the random scenario to this file, to run it again");
    app.add_flag("--without-repeats", withoutRepeats, "send no idempotency key twice");
    CLI11_PARSE(app, argc, argv);
    if (seconds > 0) {
        const std::string text = scenarios::randomScenario(seed, seconds, !withoutRepeats);
        if (!trace.empty())
            std::ofstream(trace) << text;
        return run({"random-faults-" + std::to_string(seed), text}, programs, checkOnly);
    }
    return units::orElse(
        [&]() -> units::Result<int> {
            BOOST_LEAF_AUTO(file, configuration::readFile(path));
            return run(file, programs, checkOnly);
        },
        [](const units::Error &error) {
            std::cout << units::describe(error) << "\n";
            return 2;
        });
}
