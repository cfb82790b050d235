#include "routersalone.h"

#include "fleetwide.h"
#include "messagesizes.h"

#include <monsoongrade/scheduling/fixedsharepolicy.h>
#include <monsoongrade/scheduling/twochoicespolicy.h>

namespace monsoongrade::bench {

namespace {

constexpr double DivideAgainSeconds = 1.0;

} // namespace

RoutersAlone::Router::Router(RoutersAlone &fleet, int index)
    : fleet_(fleet)
{
    const units::Clock &clock = fleet.timeline_.clock();
    if (fleet.kind_ == PolicyKind::FixedShare)
        policy = std::make_unique<scheduling::FixedSharePolicy>(clock, *this);
    else
        policy = std::make_unique<scheduling::TwoChoicesPolicy>(
            clock, *this, fleet.options_.seed * 100 + static_cast<std::uint64_t>(index));
}

void RoutersAlone::Router::granted(const scheduling::SlotGrant &grant)
{
    held[grant.request] = grant.id;
    fleet_.timeline_.after(0, [this, grant] { fleet_.listener_.granted(grant); });
}

void RoutersAlone::Router::refused(const scheduling::SlotRefusal &refusal)
{
    fleet_.timeline_.after(0, [this, refusal] { fleet_.listener_.refused(refusal); });
}

RoutersAlone::RoutersAlone(PolicyKind kind, Timeline &timeline, scheduling::CellPolicy policy,
                           const Options &options, Listener listener)
    : kind_(kind)
    , timeline_(timeline)
    , policy_(std::move(policy))
    , options_(options)
    , listener_(std::move(listener))
{
    // All routers together may keep as many waiting as one scheduler.
    policy_.queueLimit /= static_cast<std::size_t>(options.routers);
    for (int i = 0; i < options.routers; ++i)
        routers_.push_back(std::make_unique<Router>(*this, i));
    divide();
}

void RoutersAlone::divide()
{
    int count = 0;
    for (const auto &router : routers_)
        count += router->policy ? 1 : 0;
    int index = 0;
    for (const auto &router : routers_) {
        if (!router->policy)
            continue;
        if (auto *fixed = dynamic_cast<scheduling::FixedSharePolicy *>(router->policy.get()))
            fixed->setRouters(index, count);
        ++index;
        router->policy->configure(policy_);
    }
}

void RoutersAlone::ask(const scheduling::SlotAsk &ask, int router)
{
    routers_[static_cast<std::size_t>(router)]->policy->ask(ask);
}

void RoutersAlone::cancel(const units::RequestId &request, int router)
{
    Router &own = *routers_[static_cast<std::size_t>(router)];
    if (!own.policy->cancel(request)) {
        scheduling::SlotRelease left;
        left.outcome = scheduling::ReleaseOutcome::CallerLeft;
        release(request, router, left);
    }
}

void RoutersAlone::release(const units::RequestId &request, int router,
                           scheduling::SlotRelease release)
{
    Router &own = *routers_[static_cast<std::size_t>(router)];
    const auto found = own.held.find(request);
    if (found == own.held.end() || !own.policy)
        return;
    release.grant = found->second;
    own.held.erase(found);
    own.policy->release(release);
}

void RoutersAlone::reportLoad(const units::EndpointId &endpoint, int load)
{
    if (kind_ != PolicyKind::TwoChoices)
        return;
    for (const auto &router : routers_) {
        if (!router->policy)
            continue;
        countMessage(ReportBytes);
        router->policy->reportLoad(endpoint, load);
    }
}

void RoutersAlone::routerDied(int router)
{
    Router &dead = *routers_[static_cast<std::size_t>(router)];
    dead.policy.reset();
    dead.held.clear();
    timeline_.after(DivideAgainSeconds, [this] { divide(); });
}

void RoutersAlone::tick()
{
    for (const auto &router : routers_) {
        if (router->policy)
            router->policy->tick();
    }
}

std::size_t RoutersAlone::waiting() const
{
    std::size_t sum = 0;
    for (const auto &router : routers_)
        sum += router->policy ? router->policy->waiting() : 0;
    return sum;
}

std::unique_ptr<Fleet> Fleet::make(PolicyKind kind, Timeline &timeline,
                                   const scheduling::CellPolicy &policy, Options options,
                                   Listener listener)
{
    if (kind == PolicyKind::FleetWide)
        return std::make_unique<FleetWide>(timeline, policy, options, std::move(listener));
    return std::make_unique<RoutersAlone>(kind, timeline, policy, options, std::move(listener));
}

} // namespace monsoongrade::bench
