#include <monsoongrade/membership/fleetwatcher.h>

#include <monsoongrade/observability/log.h>

#include <algorithm>
#include <random>
#include <utility>

namespace monsoongrade::membership {

namespace {

// After a read that failed.
constexpr auto MaxRetry = std::chrono::seconds(30);
constexpr auto StopCheck = std::chrono::milliseconds(50);

} // namespace

FleetWatcher::FleetWatcher(platform::HostList &hosts, Membership &membership)
    : hosts_(hosts)
    , membership_(membership)
    , thread_([this] { run(); })
{
}

FleetWatcher::~FleetWatcher()
{
    stopping_ = true;
    thread_.join();
}

void FleetWatcher::run()
{
    std::mt19937 random(std::random_device{}());
    // Daemons that were started together would otherwise all read at the same moment, and none
    // of them for long after it.
    double share = std::uniform_real_distribution<double>(0, 1)(random);
    while (!stopping_) {
        pollOnce();
        // Asked again and again: news may make the next read more urgent.
        const auto isDue = [&](units::Duration waited) {
            units::Duration period = membership_.nextListRead();
            if (failing_)
                period = std::min<units::Duration>(period, MaxRetry);
            return waited >= std::chrono::duration_cast<units::Duration>(period * share);
        };
        for (auto waited = units::Duration(); !isDue(waited) && !stopping_; waited += StopCheck)
            std::this_thread::sleep_for(StopCheck);
        share = std::uniform_real_distribution<double>(0.9, 1.1)(random);
    }
}

void FleetWatcher::pollOnce()
{
    const auto read = units::capture([this] { return hosts_.hosts(); });
    if (read.value)
        membership_.applyList(*read.value);
    // One line at the start and one at the end of a fault, not one for each attempt.
    const bool wasFailing = std::exchange(failing_, !read.value);
    if (read.value && wasFailing)
        observability::log(observability::LogLevel::Info, "host-list-read-again", {});
    if (!read.value && !wasFailing)
        observability::log(
            observability::LogLevel::Warning, "host-list-failed",
            {{"code", static_cast<int>(read.error.code)}, {"message", read.error.message}});
}

} // namespace monsoongrade::membership
