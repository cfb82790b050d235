#ifndef MONSOONGRADE_TESTS_SCHEDULING_CELLFIXTURE_H
#define MONSOONGRADE_TESTS_SCHEDULING_CELLFIXTURE_H

#include <monsoongrade/scheduling/cellscheduler.h>
#include <monsoongrade/units/manualclock.h>

#include <scheduling/recordingsink.h>

#include <string>

namespace monsoongrade::scheduling {

// A cell with one slot and a high and a low class.
class CellFixture
{
public:
    CellFixture()
    {
        addClass("high", 0);
        addClass("low", 1);
        policy.endpoints = {{units::EndpointId("engine"), 1}};
        scheduler.configure(policy);
    }

    ClassPolicy &addClass(const std::string &name, std::uint32_t tier)
    {
        ClassPolicy config;
        config.name = units::ClassName(name);
        config.tier = units::Tier(tier);
        return policy.classes[config.name] = config;
    }

    static SlotAsk makeAsk(const std::string &request, const std::string &className,
                           const std::string &router = "router", const std::string &workspace = "w")
    {
        SlotAsk ask;
        ask.request = units::RequestId(request);
        ask.router = units::DaemonId(router);
        ask.className = units::ClassName(className);
        ask.workspace = units::WorkspaceName(workspace);
        return ask;
    }

    void ask(const std::string &request, const std::string &className,
             const std::string &router = "router", const std::string &workspace = "w")
    {
        scheduler.ask(makeAsk(request, className, router, workspace));
    }

    void release(std::size_t grant, ReleaseOutcome outcome = ReleaseOutcome::Completed,
                 units::Duration held = std::chrono::seconds(1), std::int64_t tokens = 10)
    {
        scheduler.release({sink.grants.at(grant).id, units::TokenCount(tokens), held, outcome});
    }
    void releaseLast() { release(sink.grants.size() - 1); }

    units::ManualClock clock;
    RecordingSink sink;
    CellPolicy policy;
    CellScheduler scheduler{clock, sink};
};

} // namespace monsoongrade::scheduling

#endif // MONSOONGRADE_TESTS_SCHEDULING_CELLFIXTURE_H
