#include "soakrun.h"

#include "soakparties.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <sstream>

#include <unistd.h>

namespace monsoongrade::soak {

namespace {

using nlohmann::json;
using standins::StoreBehavior;
using std::chrono::milliseconds;

constexpr auto AskedPause = milliseconds(3000);
// Requests a second; which one follows from the begin of the fault.
constexpr double NamedLimits[] = {0.3, 1, 8, 40, 0, 1.6, 2};
constexpr double MaxRejections = 2; // a second
constexpr int ModelSlots = 16;
constexpr int PlainSlots = 6;
constexpr int MaxWaiting = 4;
// Brittle endpoints let fewer requests wait from this time on.
constexpr auto WaitingShrinksAfter = milliseconds(3000);
// Requests in a burst for each one at other times.
constexpr int BurstFactor = 6;
// The first host places the requests of all whenever it runs.
constexpr double LargeCpuShare = 1;
constexpr double SmallCpuShare = 0.5;
constexpr std::uint16_t CallersPort = 8001;
constexpr std::size_t Domains = 3;
constexpr auto BetweenRequests = milliseconds(8);
constexpr auto StartWithin = milliseconds(10000);
// After the last request: its deadline, and some more for what runs unattended.
constexpr auto Aftermath = milliseconds(7000);
constexpr auto StopWithin = std::chrono::seconds(4);
// Lets streams wait for an endpoint until their deadline, which may be after the end of a host.
constexpr auto LongTarget = milliseconds(1000);

double limitOf(const Fault &fault)
{
    return NamedLimits[std::size_t(fault.beginsAt / milliseconds(100)) % std::size(NamedLimits)];
}

// Runs stand side by side: each takes addresses and ports by its process id. The ports stay below
// those that the system gives to outgoing connections.
int runNumber()
{
    return int(getpid()) % 1200;
}

int proxyPort(std::size_t endpoint)
{
    return 20000 + runNumber() * 10 + int(endpoint);
}

json route(const std::string &prefix, const std::string &kind, const std::string &service, int tier,
           int attempts, bool resumable, milliseconds target = milliseconds(500))
{
    return {{"name", "r" + prefix}, {"host", "soak.example"}, {"path_prefix", prefix},
            {"kind", kind},         {"timeout_ms", 4000},     {"target_latency_ms", target.count()},
            {"priority", tier},     {"service", service},     {"max_attempts", attempts},
            {"public", false},      {"resumable", resumable}, {"gap_aim_ms", 300}};
}

} // namespace

SoakRun::SoakRun(const SoakSettings &settings)
    : settings_(settings)
    , faults_(settings.faults.empty()
                  ? planFaults(settings.seed, settings.length, settings.hosts, Endpoints)
                  : settings.faults)
    , timers_(io_, clock_)
    , store_(io_, timers_, 0)
    , duties_(io_, timers_, 0)
    , caller_(io_, timers_)
    , random_(settings.seed)
{
    putConfiguration(1, true);
    for (std::size_t i = 0; i < Endpoints; ++i)
        addEndpoint(i);
    for (std::size_t i = 0; i < settings_.hosts; ++i)
        addHost(i);
}

void SoakRun::addEndpoint(std::size_t number)
{
    standins::StandInWorker::Settings endpoint;
    endpoint.id = endpointParty(number);
    endpoint.service = number < ModelEndpoints ? "model" : "plain";
    endpoint.zone = "z" + std::to_string(number % Domains);
    endpoint.slots = number < ModelEndpoints ? ModelSlots : PlainSlots;
    endpoint.maxWaiting = MaxWaiting;
    endpoint.events = EventsOfStream;
    endpoint.work = milliseconds(number < ModelEndpoints ? 15 : 60);
    endpoint.eventGap = milliseconds(25);
    endpoint.announcedAddress = "127.0.0.1:" + std::to_string(proxyPort(number));
    endpoints_.push_back(std::make_unique<standins::StandInWorker>(io_, timers_, store_, endpoint));
    const std::string own = endpoints_.back()->address();
    relay_.add({"hosts", endpointParty(number), "127.0.0.1", proxyPort(number),
                std::stoi(own.substr(own.find(':') + 1))});
    endpoints_.back()->announce("ready");
}

void SoakRun::addHost(std::size_t number)
{
    const std::string net
        = "127." + std::to_string(40 + runNumber() / 200) + "." + std::to_string(runNumber() % 200);
    Host host;
    host.ip = net + "." + std::to_string(number + 1);
    host.settingsPath = settings_.folder + "/" + hostParty(number) + ".yaml";
    host.callers = {asio::ip::make_address_v4(host.ip), CallersPort};
    host.store = store_.addAddress();
    std::ofstream out(host.settingsPath);
    out << "host: " << hostParty(number) << "\nip: \"" << host.ip << "\"\nfailure-domain: z"
        << number % Domains << "\ncpu-share: " << (number == 0 ? LargeCpuShare : SmallCpuShare)
        << "\n";
    const char *const listeners[] = {"callers", "readiness", "directory"};
    for (std::size_t i = 0; i < std::size(listeners); ++i)
        out << listeners[i] << "-address: \"" << host.ip << ":" << CallersPort + i << "\"\n";
    out << "gossip-port: 8004\nplacement-port: 8005\nrelay-port: 8006\nseeds: [\"" << net
        << ".1:8004\", \"" << net << ".2:8004\"]\nstore-address: \"127.0.0.1:" << host.store.port()
        << "\"\nstop-within-s: " << StopWithin.count()
        << "\nduties-address: \"127.0.0.1:" << duties_.address().port()
        << "\"\ncounts-port: 8007\nusage-window-s: 1\n";
    hosts_.push_back(std::move(host));
}

void SoakRun::putConfiguration(int version, bool hasSecondKey)
{
    json workspaces{{{"name", "w1"}, {"api_keys", {FirstKey}}}};
    if (hasSecondKey)
        workspaces.push_back({{"name", "w2"}, {"api_keys", {SecondKey}}});
    store_.put(
        "config", "main",
        {{"version", version},
         {"routes",
          {route("/safe/", "safe", "plain", 1, 2, false),
           route("/unsafe/", "unsafe", "plain", 1, 2, false),
           route("/stream/", "streaming", "model", 2, 2, false, LongTarget),
           route("/resume/", "streaming", "model", 0, 2, true)}},
         {"services",
          {{{"name", "plain"}, {"max_connections", 200}},
           {{"name", "model"}, {"max_connections", 200}, {"engine", {{"slots", ModelSlots}}}}}},
         {"tenants", workspaces}});
}

void SoakRun::startHost(Host &host)
{
    const std::size_t number = std::size_t(&host - hosts_.data());
    host.process = std::make_unique<scenarios::Process>(
        std::vector<std::string>{settings_.gateway, "--config", host.settingsPath},
        settings_.folder + "/" + hostParty(number) + ".log");
}

bool SoakRun::awaitServing()
{
    // A request to each host, again until it is answered.
    const units::TimePoint until = timers_.now() + StartWithin;
    for (const Host &host : hosts_) {
        while (true) {
            CallRecord probe;
            probe.id = "probe" + std::to_string(caller_.records().size());
            probe.key = FirstKey;
            caller_.send(host.callers, probe);
            const std::shared_ptr<CallRecord> sent = caller_.records().back();
            while (!sent->isEnded)
                io_.run_one();
            if (sent->status == 200)
                break;
            if (timers_.now() >= until)
                return false;
            io_.run_for(milliseconds(50));
            io_.restart();
        }
    }
    return true;
}

bool SoakRun::play()
{
    for (Host &host : hosts_)
        startHost(host);
    if (!awaitServing())
        return false;
    startedAt_ = timers_.now();
    for (const Fault &fault : faults_) {
        timers_.at(startedAt_ + fault.beginsAt, [this, &fault] { begin(fault); });
        timers_.at(startedAt_ + fault.endsAt, [this, &fault] { end(fault); });
    }
    scheduleLoad();
    io_.restart();
    io_.run_for(settings_.length + Aftermath);
    for (Host &host : hosts_) {
        host.process->signal(SIGCONT);
        host.process->signal(SIGTERM);
    }
    io_.restart();
    io_.run_for(StopWithin + milliseconds(500));
    for (const auto &endpoint : endpoints_) {
        for (const standins::WorkerRun &run : endpoint->runs())
            ++runs_[run.requestId];
    }
    return true;
}

void SoakRun::scheduleLoad()
{
    restartEnded();
    if (timers_.now() >= startedAt_ + settings_.length)
        return;
    const bool isBurst = std::any_of(faults_.begin(), faults_.end(), [&](const Fault &fault) {
        return fault.kind == FaultKind::Burst && isInForce(fault, timers_.now(), timers_.now());
    });
    for (int i = 0; i < (isBurst ? BurstFactor : 1); ++i)
        sendOne();
    timers_.after(BetweenRequests, [this] { scheduleLoad(); });
}

void SoakRun::sendOne()
{
    CallRecord record;
    record.id = "id" + std::to_string(caller_.records().size());
    record.kind = RequestKind(random_() % 4);
    record.key = random_() % 2 == 0 ? FirstKey : SecondKey;
    record.host = random_() % hosts_.size();
    caller_.send(hosts_[record.host].callers, record);
}

void SoakRun::restartEnded()
{
    for (Host &host : hosts_) {
        if (host.mustRestart && host.process->exitCode()) {
            host.mustRestart = false;
            startHost(host);
        }
    }
}

void SoakRun::begin(const Fault &fault)
{
    Host *const host = fault.target < hosts_.size() ? &hosts_[fault.target] : nullptr;
    switch (fault.kind) {
    case FaultKind::Kill:
        host->process->signal(SIGKILL);
        break;
    case FaultKind::Freeze:
        host->process->signal(SIGSTOP);
        break;
    case FaultKind::Stop:
        host->process->signal(SIGTERM);
        break;
    case FaultKind::StoreRefuses:
        store_.setBehavior(StoreBehavior::Refusing, host->store);
        break;
    case FaultKind::StoreLosesAnswers:
        store_.setBehavior(StoreBehavior::DroppingResponses, host->store);
        break;
    case FaultKind::StoreAway:
        store_.setBehavior(StoreBehavior::Refusing);
        break;
    case FaultKind::HistoryGone:
        store_.compact();
        break;
    case FaultKind::CutToEndpoint:
        relay_.cut({"hosts", endpointParty(fault.target)});
        break;
    case FaultKind::CutFromEndpoint:
        relay_.cut({endpointParty(fault.target), "hosts"});
        break;
    case FaultKind::EndpointLeaves:
        endpoints_[fault.target]->announce("draining");
        break;
    case FaultKind::KeyRevoked:
        revokedAt_ = timers_.now();
        putConfiguration(2, false);
        break;
    case FaultKind::EndpointAnnouncesLeaving:
        endpoints_[fault.target]->announceLeavingInResponses();
        break;
    case FaultKind::EndpointAsksForPauses:
        endpoints_[fault.target]->askForPauses(AskedPause);
        break;
    case FaultKind::EndpointNamesLimit:
        endpoints_[fault.target]->announceLimit(limitOf(fault));
        break;
    case FaultKind::EndpointIsBrittle:
        endpoints_[fault.target]->announceMaxRejections(MaxRejections);
        timers_.after(WaitingShrinksAfter, [this, &fault] {
            if (isInForce(fault, timers_.now(), timers_.now()))
                endpoints_[fault.target]->setMaxWaiting(0);
        });
        break;
    case FaultKind::Burst:
        break;
    case FaultKind::EndpointRestarts:
        endpoints_[fault.target]->restart();
        break;
    case FaultKind::EntryLapses:
        endpoints_[fault.target]->removeEntry();
        break;
    case FaultKind::EntryOfAnotherWriter:
        overwriteEntry(fault);
        break;
    }
}

// Writes an entry that names no endpoint to use, or shows no later start than the endpoint's own.
void SoakRun::overwriteEntry(const Fault &fault)
{
    const standins::StandInWorker &endpoint = *endpoints_[fault.target];
    const json starts[] = {0, 1700000000000, "soon", nullptr, 1.5};
    json entry{{"service", endpoint.settings().service},
               {"address", endpoint.settings().announcedAddress},
               {"zone", endpoint.settings().zone},
               {"slots", 1},
               {"state", "ready"},
               {"born", starts[std::size_t(fault.beginsAt.count()) % std::size(starts)]}};
    if (entry["born"].is_null())
        entry.erase("born");
    store_.put("servers", endpoint.settings().id, entry);
}

void SoakRun::end(const Fault &fault)
{
    Host *const host = fault.target < hosts_.size() ? &hosts_[fault.target] : nullptr;
    switch (fault.kind) {
    case FaultKind::Kill:
    case FaultKind::Stop:
        host->process->signal(SIGCONT); // one that is frozen as well could not end
        host->mustRestart = true;
        break;
    case FaultKind::Freeze:
        host->process->signal(SIGCONT);
        break;
    case FaultKind::StoreRefuses:
    case FaultKind::StoreLosesAnswers:
        store_.setBehavior(StoreBehavior::Normal, host->store);
        break;
    case FaultKind::StoreAway:
        store_.setBehavior(StoreBehavior::Normal);
        break;
    case FaultKind::HistoryGone:
    case FaultKind::KeyRevoked:
        break;
    case FaultKind::CutToEndpoint:
        relay_.heal({"hosts", endpointParty(fault.target)}, false);
        break;
    case FaultKind::CutFromEndpoint:
        relay_.heal({endpointParty(fault.target), "hosts"}, false);
        break;
    case FaultKind::EndpointLeaves:
    case FaultKind::EndpointAnnouncesLeaving:
        endpoints_[fault.target]->restart();
        endpoints_[fault.target]->announce();
        break;
    case FaultKind::EndpointRestarts:
    case FaultKind::EntryLapses:
    case FaultKind::EntryOfAnotherWriter:
        endpoints_[fault.target]->announce();
        break;
    case FaultKind::EndpointAsksForPauses:
        endpoints_[fault.target]->askForPauses(milliseconds(0));
        break;
    case FaultKind::EndpointNamesLimit:
        endpoints_[fault.target]->announceLimit(std::nullopt);
        break;
    case FaultKind::EndpointIsBrittle:
        endpoints_[fault.target]->announceMaxRejections(std::nullopt);
        endpoints_[fault.target]->setMaxWaiting(MaxWaiting);
        break;
    case FaultKind::Burst:
        break;
    }
}

} // namespace monsoongrade::soak
