#include <monsoongrade/daemon/stopsignal.h>

#include <csignal>

namespace monsoongrade::daemon {

namespace {

sigset_t stopSignals()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    return set;
}

} // namespace

void blockStopSignals()
{
    const sigset_t set = stopSignals();
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    std::signal(SIGPIPE, SIG_IGN); // NOLINT(bugprone-signal-handler)
}

void waitForStopSignal()
{
    const sigset_t set = stopSignals();
    int caught = 0;
    sigwait(&set, &caught);
}

} // namespace monsoongrade::daemon
