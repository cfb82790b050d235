#include "simulation.h"

#include <algorithm>

namespace monsoongrade::bench {

namespace {

constexpr int MostReturns = 3;
constexpr double PatienceSeconds = 120;
constexpr double NoticeSeconds = 1;
constexpr double LongestRun = 400;
constexpr double ReportLag = 1;
constexpr double SlowReportLag = 5;
constexpr double CountFrom = 10;
constexpr double CountUntil = 60;
constexpr int FirstSmallWorkspace = 3;
constexpr double BetweenTokensTarget = 0.063;
constexpr int StepsPerTick = 5;
constexpr int StepsPerReport = 100;

double seconds(units::Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

double percent(double part, double whole)
{
    return whole > 0 ? 100 * part / whole : 0;
}

} // namespace

Simulation::Simulation(const Site &site, const Script &script, PolicyKind kind,
                       const Fleet::Options &options)
    : site_(site)
    , script_(script)
    , random_(options.seed)
    , options_(options)
    , engines_(static_cast<std::size_t>(site.engines), SimulatedEngine(site.slots))
    , callers_(script.requests.size())
    , routerLives_(static_cast<std::size_t>(options.routers), true)
    , fleet_(Fleet::make(kind, timeline_, site.policy, options,
                         {[this](const auto &grant) { granted(grant); },
                          [this](const auto &refusal) {
                              refused(refusal);
                          }}))
    , open_(script.requests.size())
{
}

Result Simulation::run()
{
    planFaults();
    for (int steps = 0; open_ > 0 && timeline_.seconds() < LongestRun; ++steps) {
        if (steps % StepsPerTick == 0)
            fleet_->tick();
        if (steps % StepsPerReport == 0)
            report();
        step();
    }
    return result();
}

void Simulation::planFaults()
{
    if (script_.schedulerDiesAt)
        timeline_.after(*script_.schedulerDiesAt, [this] { fleet_->schedulerDied(); });
    if (script_.routerDiesAt)
        timeline_.after(*script_.routerDiesAt, [this] { killRouter(); });
    if (script_.slowUntil > 0) {
        timeline_.after(script_.slowFrom, [this] { engines_[0].setSpeed(script_.slowFactor); });
        timeline_.after(script_.slowUntil, [this] { engines_[0].setSpeed(1); });
    }
}

void Simulation::step()
{
    timeline_.step();
    while (nextArrival_ < callers_.size()
           && script_.requests[nextArrival_].arrivesAt <= timeline_.seconds()) {
        const std::size_t request = nextArrival_++;
        timeline_.after(PatienceSeconds, [this, request] { giveUp(request); });
        arrive(request);
    }
    std::size_t waiting = fleet_->waiting();
    mostWaiting_ = std::max(mostWaiting_, waiting);
    for (SimulatedEngine &engine : engines_) {
        const auto free = static_cast<std::size_t>(engine.freeSlots());
        if (free > 0 && waiting >= free)
            lost_ += engine.unused(Timeline::StepSeconds);
        waiting -= std::min(waiting, free);
        std::vector<std::size_t> firstTokens;
        const auto finished = engine.step(Timeline::StepSeconds, firstTokens);
        for (const std::size_t request : firstTokens) {
            if (callers_[request].firstTokenAt < 0)
                callers_[request].firstTokenAt = timeline_.seconds();
        }
        for (const SimulatedEngine::Stream &stream : finished)
            finish(stream);
    }
}

void Simulation::arrive(std::size_t request)
{
    Caller &caller = callers_[request];
    if (caller.state == State::Done)
        return;
    const RequestSpec &spec = script_.requests[request];
    caller.state = State::Asking;
    ++caller.attempt;
    do {
        caller.router = static_cast<int>(random_() % routerLives_.size());
    } while (!routerLives_[static_cast<std::size_t>(caller.router)]);
    scheduling::SlotAsk ask;
    ask.request = idOf(request);
    ask.className = units::ClassName(spec.className);
    ask.workspace = units::WorkspaceName(spec.workspace);
    ask.prefix = units::PrefixHash(spec.prefix);
    if (options_.patienceTold)
        ask.patience = timeLeft(request);
    fleet_->ask(ask, caller.router);
}

void Simulation::granted(const scheduling::SlotGrant &grant)
{
    std::size_t request = 0;
    if (!isCurrent(grant.request, request) || callers_[request].state != State::Asking)
        return;
    Caller &caller = callers_[request];
    const RequestSpec &spec = script_.requests[request];
    const units::ClassName className(spec.className);
    caller.state = State::Running;
    caller.engine = std::stoi(grant.endpoint.value().substr(grant.endpoint.value().find('-') + 1));
    caller.began = timeline_.clock().now();
    if (timeline_.seconds() >= CountFrom && timeline_.seconds() < CountUntil)
        tokensGranted_[className] += spec.tokens;
    engines_[static_cast<std::size_t>(caller.engine)].add(
        {request, site_.policy.tierOf(className).value(), spec.prefix, spec.tokens});
}

void Simulation::refused(const scheduling::SlotRefusal &refusal)
{
    std::size_t request = 0;
    if (!isCurrent(refusal.request, request) || callers_[request].state != State::Asking)
        return;
    ++refusals_[std::string(units::resultCodeName(refusal.code))];
    const double after = seconds(refusal.retryAfter);
    if (callers_[request].attempt > MostReturns || refusal.retryAfter > timeLeft(request)) {
        callers_[request].state = State::Done;
        --open_;
        return;
    }
    ++returnsPerSecond_[static_cast<int>(timeline_.seconds() + after)];
    comeBack(request, after);
}

void Simulation::comeBack(std::size_t request, double after)
{
    callers_[request].state = State::Away;
    timeline_.after(after, [this, request] { arrive(request); });
}

void Simulation::giveUp(std::size_t request)
{
    Caller &caller = callers_[request];
    if (caller.state == State::Done)
        return;
    if (caller.state == State::Asking)
        fleet_->cancel(idOf(request), caller.router);
    if (caller.state == State::Running) {
        const double made = engines_[static_cast<std::size_t>(caller.engine)].cancel(request);
        wasted_ += made;
        scheduling::SlotRelease release;
        release.tokens = units::TokenCount(static_cast<std::int64_t>(made));
        release.outcome = scheduling::ReleaseOutcome::CallerLeft;
        fleet_->release(idOf(request), caller.router, release);
    }
    caller.state = State::Done;
    --open_;
}

void Simulation::finish(const SimulatedEngine::Stream &stream)
{
    Caller &caller = callers_[stream.request];
    useful_ += stream.tokens;
    scheduling::SlotRelease release;
    release.tokens = units::TokenCount(stream.tokens);
    release.held = timeline_.clock().now() - caller.began;
    fleet_->release(idOf(stream.request), caller.router, release);
    caller.completed = true;
    caller.doneAt = timeline_.seconds();
    caller.state = State::Done;
    --open_;
}

// Its streams are cut, and what was made for them is lost.
void Simulation::killRouter()
{
    routerLives_[0] = false;
    fleet_->routerDied(0);
    for (std::size_t request = 0; request < callers_.size(); ++request) {
        Caller &caller = callers_[request];
        if (caller.router != 0 || (caller.state != State::Asking && caller.state != State::Running))
            continue;
        if (caller.state == State::Running)
            wasted_ += engines_[static_cast<std::size_t>(caller.engine)].cancel(request);
        caller.firstTokenAt = -1;
        comeBack(request, NoticeSeconds);
    }
}

void Simulation::report()
{
    for (std::size_t i = 0; i < engines_.size(); ++i) {
        const bool slow = i == 0 && script_.slowUntil > 0;
        timeline_.after(slow ? SlowReportLag : ReportLag, [this, i, load = engines_[i].load()] {
            fleet_->reportLoad(site_.policy.endpoints[i].id, load);
        });
    }
}

// Until its caller leaves for good.
units::Duration Simulation::timeLeft(std::size_t request) const
{
    const std::chrono::duration<double> left(script_.requests[request].arrivesAt + PatienceSeconds
                                             - timeline_.seconds());
    return std::chrono::duration_cast<units::Duration>(left);
}

units::RequestId Simulation::idOf(std::size_t request) const
{
    return units::RequestId(std::to_string(request) + "/"
                            + std::to_string(callers_[request].attempt));
}

bool Simulation::isCurrent(const units::RequestId &id, std::size_t &request) const
{
    request = std::stoul(id.value());
    return idOf(request) == id;
}

bool Simulation::attained(std::size_t request) const
{
    const Caller &caller = callers_[request];
    const RequestSpec &spec = script_.requests[request];
    const auto &config = site_.policy.classes.at(units::ClassName(spec.className));
    return caller.completed
        && caller.firstTokenAt - spec.arrivesAt <= seconds(config.firstTokenTarget)
        && caller.doneAt - spec.arrivesAt <= seconds(config.wholeAnswerTarget);
}

ClassResult Simulation::classResult(const units::ClassName &name) const
{
    double wanted = 0;
    double completed = 0;
    double inTime = 0;
    double allTokens = 0;
    std::vector<double> firstTokens;
    for (const auto &entry : tokensGranted_)
        allTokens += entry.second;
    for (std::size_t i = 0; i < callers_.size(); ++i) {
        if (script_.requests[i].className != name.value())
            continue;
        ++wanted;
        completed += callers_[i].completed ? 1 : 0;
        inTime += attained(i) ? 1 : 0;
        if (callers_[i].completed)
            firstTokens.push_back(callers_[i].firstTokenAt - script_.requests[i].arrivesAt);
    }
    std::sort(firstTokens.begin(), firstTokens.end());
    const auto granted = tokensGranted_.find(name);
    ClassResult result;
    result.name = name.value();
    result.attainment = percent(inTime, wanted);
    result.completed = percent(completed, wanted);
    result.tokensGranted
        = granted == tokensGranted_.end() ? 0 : percent(granted->second, allTokens);
    if (!firstTokens.empty())
        result.firstTokenP95 = firstTokens[firstTokens.size() * 95 / 100];
    addBetweenTokens(name, result);
    return result;
}

void Simulation::addBetweenTokens(const units::ClassName &name, ClassResult &result) const
{
    std::vector<double> means;
    double kept = 0;
    for (std::size_t i = 0; i < callers_.size(); ++i) {
        const RequestSpec &spec = script_.requests[i];
        if (spec.className != name.value() || !callers_[i].completed || spec.tokens < 2)
            continue;
        means.push_back((callers_[i].doneAt - callers_[i].firstTokenAt) / (spec.tokens - 1));
        kept += means.back() <= BetweenTokensTarget ? 1 : 0;
    }
    if (means.empty())
        return;
    std::sort(means.begin(), means.end());
    result.betweenTokensP95 = 1000 * means[means.size() * 95 / 100];
    result.betweenTokensKept = percent(kept, static_cast<double>(means.size()));
}

Result Simulation::result() const
{
    Result result;
    for (const Site::Work &work : site_.work)
        result.classes.push_back(classResult(units::ClassName(work.className)));
    result.goodput = percent(useful_, useful_ + wasted_ + lost_);
    result.wasted = percent(wasted_, useful_ + wasted_);
    double prefill = 0;
    double saved = 0;
    for (const SimulatedEngine &engine : engines_) {
        prefill += engine.prefillDone();
        saved += engine.prefillSaved();
    }
    result.prefillSaved = percent(saved, prefill);
    const auto requests = static_cast<double>(callers_.size());
    result.messagesPerRequest = static_cast<double>(fleet_->messages()) / requests;
    result.bytesPerRequest = static_cast<double>(fleet_->bytes()) / requests;
    for (const auto &[code, count] : refusals_)
        result.refusals[code] = count;
    for (const auto &entry : returnsPerSecond_)
        result.mostReturns = std::max<double>(result.mostReturns, entry.second);
    result.smallWorkspaces
        = attainment(site_.work[1].className, 0, LongestRun, FirstSmallWorkspace);
    if (!script_.schedulerDiesAt)
        return result;
    const double death = *script_.schedulerDiesAt;
    const std::string &highest = site_.work[0].className;
    result.attainedAtDeath = attainment(highest, death, death + 2, 0);
    result.attainedAfterDeath = attainment(highest, death + 2, death + 4, 0);
    return result;
}

double Simulation::attainment(const std::string &className, double from, double until,
                              int leastWorkspace) const
{
    double wanted = 0;
    double inTime = 0;
    for (std::size_t i = 0; i < callers_.size(); ++i) {
        const RequestSpec &spec = script_.requests[i];
        const int workspace = std::stoi(spec.workspace.substr(spec.workspace.find('-') + 1));
        if (spec.className != className || spec.arrivesAt < from || spec.arrivesAt >= until
            || workspace < leastWorkspace)
            continue;
        ++wanted;
        inTime += attained(i) ? 1 : 0;
    }
    return percent(inTime, wanted);
}

} // namespace monsoongrade::bench
