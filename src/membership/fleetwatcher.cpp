#include <monsoongrade/membership/fleetwatcher.h>

#include <monsoongrade/observability/log.h>

#include <algorithm>
#include <random>
#include <utility>

namespace monsoongrade::membership {

namespace {

constexpr auto PeriodPerDaemon = std::chrono::milliseconds(125);
constexpr auto ShortestPeriod = std::chrono::seconds(1);
// Two reads must fit into the time after which a host that is back gets work again.
constexpr auto LongestPeriod = std::chrono::seconds(30);
constexpr auto StopCheck = std::chrono::milliseconds(50);

} // namespace

units::Duration listPollPeriod(std::size_t daemons)
{
    const units::Duration period = PeriodPerDaemon * daemons;
    return std::clamp<units::Duration>(period, ShortestPeriod, LongestPeriod);
}

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
    while (!stopping_) {
        pollOnce();
        // Daemons that were started together would otherwise all read at the same moment.
        std::uniform_real_distribution<double> spread(0.75, 1.25);
        const units::Duration period = std::chrono::duration_cast<units::Duration>(
            listPollPeriod(membership_.members().size() + 1) * spread(random));
        for (auto waited = units::Duration(); waited < period && !stopping_; waited += StopCheck)
            std::this_thread::sleep_for(StopCheck);
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
