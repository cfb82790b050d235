#include "process.h"

#include <mutex>
#include <set>
#include <stdexcept>
#include <thread>

#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>

extern char **environ; // NOLINT

namespace monsoongrade::scenarios {

namespace {

constexpr auto ExitCheck = std::chrono::milliseconds(10);

std::mutex runningMutex;
std::set<pid_t> running;

} // namespace

Process::Process(const std::vector<std::string> &arguments, const std::string &logPath)
    : arguments_(arguments)
{
    std::vector<char *> argv;
    for (std::string &argument : arguments_)
        argv.push_back(argument.data());
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 0, "/dev/null", O_RDONLY, 0);
    posix_spawn_file_actions_addopen(&actions, 1, logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                     0644);
    posix_spawn_file_actions_adddup2(&actions, 1, 2);
    // Connections of the runner must not stay open in its children.
    posix_spawn_file_actions_addclosefrom_np(&actions, 3);
    const std::lock_guard lock(runningMutex);
    const int error = posix_spawn(&pid_, argv[0], &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0)
        throw std::runtime_error("can't start " + arguments_[0]);
    running.insert(pid_);
}

Process::~Process()
{
    signal(SIGKILL);
    waitForExit(std::chrono::seconds(5));
}

void Process::signal(int number)
{
    if (!exitCode())
        kill(pid_, number);
}

std::optional<int> Process::exitCode()
{
    const std::lock_guard lock(runningMutex);
    int status = 0;
    if (exitCode_ || waitpid(pid_, &status, WNOHANG) != pid_)
        return exitCode_;
    running.erase(pid_);
    exitCode_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    return exitCode_;
}

std::optional<int> Process::waitForExit(std::chrono::milliseconds limit)
{
    const auto until = std::chrono::steady_clock::now() + limit;
    while (!exitCode() && std::chrono::steady_clock::now() < until)
        std::this_thread::sleep_for(ExitCheck);
    return exitCode_;
}

void Process::killAll()
{
    const std::lock_guard lock(runningMutex);
    for (const pid_t pid : running)
        kill(pid, SIGKILL);
}

} // namespace monsoongrade::scenarios
