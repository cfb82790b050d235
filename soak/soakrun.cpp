#include "soakrun.h"

#include "soakparties.h"
#include "streamchain.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <sstream>

#include <unistd.h>

namespace monsoongrade::soak {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr int ModelSlots = 16;
constexpr int PlainSlots = 6;
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
// Lets streams wait for an endpoint until their deadline, which may be after the end of a host.
constexpr auto LongTarget = milliseconds(1000);

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
           bool resumable, milliseconds target = milliseconds(500))
{
    return {{"name", "r" + prefix},
            {"host", "soak.example"},
            {"path_prefix", prefix},
            {"kind", kind},
            {"timeout_ms", RequestDeadline.count()},
            {"target_latency_ms", target.count()},
            {"priority", tier},
            {"service", service},
            {"max_attempts", 2},
            {"public", false},
            {"resumable", resumable},
            {"gap_aim_ms", 300}};
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
    , resumptionRandom_(settings.seed)
{
    caller_.onEnd([this](const CallRecord &ended) { resumeLater(ended); });
    putConfiguration();
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
    endpoint.eventsNameVersion = true;
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
    std::ostringstream out;
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
    host.settings = out.str();
    hosts_.push_back(std::move(host));
}

// Each version of a configuration fault has other routes beside those of the load, and other
// time-outs.
void SoakRun::putConfiguration()
{
    constexpr int ExtraRoutes = 3;
    ++configuration_;
    json workspaces{{{"name", "w1"}, {"api_keys", {FirstKey}}}};
    if (!revokedAt_)
        workspaces.push_back({{"name", "w2"}, {"api_keys", {SecondKey}}});
    json routes{route("/safe/", "safe", "plain", 1, false),
                route("/unsafe/", "unsafe", "plain", 1, false),
                route("/stream/", "streaming", "model", 2, false, LongTarget),
                route("/resume/", "streaming", "model", 0, true)};
    if (configuration_ % 2 == 0) {
        for (json &each : routes)
            each["timeout_ms"] = MinRouteTimeout.count();
    }
    for (int i = 0; i < configuration_ % (ExtraRoutes + 1); ++i)
        routes.push_back(route("/extra-" + std::to_string(configuration_ + i) + "/", "safe",
                               i % 2 == 0 ? "plain" : "model", 1, false));
    store_.put(
        "config", "main",
        {{"version", configuration_},
         {"routes", routes},
         {"services",
          {{{"name", "plain"}, {"max_connections", 200}},
           {{"name", "model"}, {"max_connections", 200}, {"engine", {{"slots", ModelSlots}}}}}},
         {"tenants", workspaces}});
}

void SoakRun::startHost(Host &host)
{
    const std::size_t number = std::size_t(&host - hosts_.data());
    std::ofstream(host.settingsPath) << host.settings;
    host.isEndAsked = false;
    host.isEndNoted = false;
    host.startedAt = timers_.now();
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
        noteEnd(host);
        host.isEndAsked = true;
        host.process->signal(SIGCONT);
        host.process->signal(SIGTERM);
    }
    io_.restart();
    io_.run_for(StopWithin + milliseconds(500));
    for (Host &host : hosts_)
        noteEnd(host);
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
    record.kind = RequestKind(random_() % 4);
    record.key = random_() % 2 == 0 ? FirstKey : SecondKey;
    record.host = random_() % hosts_.size();
    caller_.send(hosts_[record.host].callers, record);
}

void SoakRun::resumeLater(const CallRecord &ended)
{
    const auto resumption = resumptionOf(ended, resumptionRandom_);
    if (!resumption)
        return;
    timers_.after(resumption->delay, [this, record = resumption->next]() mutable {
        record.host = resumptionRandom_() % hosts_.size();
        caller_.send(hosts_[record.host].callers, record);
    });
}

} // namespace monsoongrade::soak
