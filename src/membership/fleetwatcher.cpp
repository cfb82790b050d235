#include <monsoongrade/membership/fleetwatcher.h>

#include <monsoongrade/observability/log.h>
#include <monsoongrade/units/clock.h>

namespace monsoongrade::membership {

namespace {

constexpr auto PollPeriod = std::chrono::seconds(1);
constexpr auto StopCheck = std::chrono::milliseconds(50);

FleetView viewOf(const std::vector<platform::Host> &hosts)
{
    FleetView view;
    for (const platform::Host &host : hosts) {
        const bool leaving = host.state == platform::HostState::Leaving;
        if (host.role == platform::HostRole::Entry)
            view.entryHosts.push_back(
                {host.name, host.address, host.failureDomain, leaving, false});
        else if (leaving)
            view.leavingEndpointHosts.insert(host.name);
    }
    return view;
}

} // namespace

FleetWatcher::FleetWatcher(platform::HostList &hosts, FleetHolder &holder)
    : hosts_(hosts)
    , holder_(holder)
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
    while (!stopping_) {
        units::orElse(
            [&]() -> units::Result<void> {
                BOOST_LEAF_AUTO(hosts, hosts_.hosts());
                holder_.publish(viewOf(hosts));
                return {};
            },
            [](const units::Error &error) {
                observability::log(
                    observability::LogLevel::Warning, "host-list-failed",
                    {{"code", static_cast<int>(error.code)}, {"message", error.message}});
            });
        for (auto waited = units::Duration(); waited < PollPeriod && !stopping_;
             waited += StopCheck)
            std::this_thread::sleep_for(StopCheck);
    }
}

} // namespace monsoongrade::membership
