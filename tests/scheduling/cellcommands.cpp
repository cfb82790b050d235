#include <scheduling/cellcommands.h>

#include <iterator>

namespace monsoongrade::scheduling {

namespace {

using std::chrono::milliseconds;

// Two classes in the middle tier, so that fair shares within a tier matter too.
const std::vector<ClassPolicy> Classes = {
    {units::ClassName("high"), units::Tier(0), 1, milliseconds(400), {}, milliseconds(1500)},
    {units::ClassName("middle"), units::Tier(1), 2, milliseconds(800), {}, milliseconds(2000)},
    {units::ClassName("dropped"),
     units::Tier(1),
     1,
     milliseconds(600),
     {},
     milliseconds(2000),
     LatePolicy::Drop},
    {units::ClassName("low"), units::Tier(2), 1, milliseconds(900), {}, milliseconds(4000)},
};

units::EndpointId endpointName(unsigned number)
{
    return units::EndpointId("engine-" + std::to_string(number % 3));
}

units::DaemonId routerName(unsigned number)
{
    return units::DaemonId("router-" + std::to_string(number % 3));
}

} // namespace

CellCommandRunner::CellCommandRunner()
{
    for (const ClassPolicy &config : Classes)
        oracle_.policy.classes[config.name] = config;
    oracle_.policy.guaranteedShare = 0.2;
    configure(0, 0);
}

void CellCommandRunner::run(const CellCommand &command)
{
    switch (command.kind) {
    case CellCommandKind::Ask:
        ask(command.what, command.how);
        break;
    case CellCommandKind::AskAgain:
        if (!oracle_.waiting.empty())
            scheduler_.ask(std::next(oracle_.waiting.begin(), command.what % oracle_.waiting.size())
                               ->second.ask);
        break;
    case CellCommandKind::Cancel:
        if (!oracle_.waiting.empty()) {
            const units::RequestId request
                = std::next(oracle_.waiting.begin(), command.what % oracle_.waiting.size())->first;
            if (scheduler_.cancel(request))
                oracle_.cancelled(request);
        }
        break;
    case CellCommandKind::Release:
        release(command.what, command.how);
        break;
    case CellCommandKind::Tick:
        clock_.advance(milliseconds(50 * (1 + command.what % 10)));
        scheduler_.tick();
        oracle_.checkNobodyWaitsInVain();
        break;
    case CellCommandKind::RouterLost:
        oracle_.losing = routerName(command.what);
        for (auto held = oracle_.held.begin(); held != oracle_.held.end();)
            held = held->second.ask.router == oracle_.losing ? oracle_.held.erase(held)
                                                             : std::next(held);
        scheduler_.routerLost(oracle_.losing);
        for (const auto &entry : oracle_.waiting) {
            if (entry.second.ask.router == oracle_.losing)
                oracle_.broken.push_back("an ask of a lost router still waits");
        }
        oracle_.losing = {};
        break;
    case CellCommandKind::Adopt:
        adopt(command.what);
        break;
    case CellCommandKind::Leaving:
    case CellCommandKind::Suspected: {
        const bool isLeaving = command.kind == CellCommandKind::Leaving;
        auto &marks = isLeaving ? oracle_.leaving : oracle_.suspected;
        const units::EndpointId endpoint = endpointName(command.what);
        const bool mark = command.how % 3 == 0;
        mark ? void(marks.insert(endpoint)) : void(marks.erase(endpoint));
        isLeaving ? scheduler_.setLeaving(endpoint, mark) : scheduler_.setSuspected(endpoint, mark);
        break;
    }
    case CellCommandKind::Configure:
        configure(command.what, command.how);
        break;
    }
    oracle_.compare(scheduler_);
}

void CellCommandRunner::ask(unsigned what, unsigned how)
{
    SlotAsk ask;
    ask.request = units::RequestId("request-" + std::to_string(nextRequest_++));
    ask.router = routerName(how);
    ask.className = Classes[what % Classes.size()].name;
    ask.workspace = units::WorkspaceName("workspace-" + std::to_string(what / 4 % 4));
    ask.prefix = units::PrefixHash(how % 5);
    if (how % 8 == 0)
        ask.avoid.push_back(endpointName(how / 8));
    if (how % 7 == 3)
        ask.patience = milliseconds(500 * (1 + how / 7 % 40));
    oracle_.asked(ask);
    scheduler_.ask(ask);
}

void CellCommandRunner::release(unsigned what, unsigned how)
{
    if (oracle_.held.empty())
        return;
    const auto found = std::next(oracle_.held.begin(), what % oracle_.held.size());
    const units::GrantId grant = found->first;
    const auto outcome
        = how % 4 == 0 ? static_cast<ReleaseOutcome>(how / 4 % 4) : ReleaseOutcome::Completed;
    const SlotRelease release{grant, units::TokenCount(how % 200), milliseconds(100 + how),
                              outcome};
    oracle_.released(release);
    scheduler_.release(release);
    // A release that is repeated frees nothing twice.
    scheduler_.release({grant, units::TokenCount(1), milliseconds(1), outcome});
}

void CellCommandRunner::adopt(unsigned what)
{
    SlotAsk ask;
    ask.request = units::RequestId("adopted-" + std::to_string(what % 20));
    ask.router = routerName(what);
    ask.className = Classes[what % Classes.size()].name;
    const units::EndpointId endpoint = endpointName(what % 20);
    const units::GrantId id = scheduler_.adopt(ask, endpoint);
    const auto known = oracle_.held.find(id);
    if (known != oracle_.held.end() && known->second.ask.request != ask.request)
        oracle_.broken.push_back("adopted under a number in use");
    if (known == oracle_.held.end())
        oracle_.begun(ask.className);
    oracle_.held[id] = {ask, endpoint};
}

void CellCommandRunner::configure(unsigned what, unsigned how)
{
    oracle_.policy.queueLimit = std::vector<std::size_t>{40, 10, 4, 1}[what % 4];
    oracle_.policy.endpoints.clear();
    for (unsigned i = 0; i < 1 + what / 4 % 3; ++i)
        oracle_.policy.endpoints.push_back({endpointName(i), static_cast<int>(1 + (how + i) % 3)});
    scheduler_.configure(oracle_.policy);
}

void CellCommandRunner::finish()
{
    while (!oracle_.held.empty())
        release(0, 1);
    clock_.advance(std::chrono::minutes(1));
    scheduler_.tick();
    while (!oracle_.held.empty())
        release(0, 1);
    clock_.advance(std::chrono::minutes(1));
    scheduler_.tick();
    oracle_.compare(scheduler_);
    if (!oracle_.waiting.empty())
        oracle_.broken.push_back("undecided: " + oracle_.waiting.begin()->first.value());
}

} // namespace monsoongrade::scheduling
