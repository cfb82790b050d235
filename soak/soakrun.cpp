#include "soakrun.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <sstream>

#include <unistd.h>

namespace monsoongrade::soak {

namespace {

using nlohmann::json;
using standins::StoreMood;
using std::chrono::milliseconds;

constexpr std::uint16_t CallersPort = 8001;
constexpr std::size_t ModelEndpoints = 5;
constexpr std::size_t Endpoints = 8;
constexpr std::size_t Domains = 3;
constexpr int EventsOfStream = 12;
constexpr auto BetweenRequests = milliseconds(8);
constexpr auto StartWithin = milliseconds(10000);
// After the last request: its deadline, and some more for what runs unattended.
constexpr auto Aftermath = milliseconds(7000);
constexpr auto StopWithin = std::chrono::seconds(4);
// Promises of the product: a revoked key stops working, a leaving endpoint gets no new requests.
constexpr auto RevokedWithin = milliseconds(5000);
constexpr auto LeavesWithin = milliseconds(2000);
// A disturbance of a host, or of its path, may show this long after its end.
constexpr auto Afterwards = milliseconds(3500);
// No class or workspace gets less than a quarter of the share that all get.
constexpr double MinShareOfMean = 0.25;
// In the last eighth, with all faults over, nearly all are answered.
constexpr double MinRecovered = 0.9;
constexpr int RunLengthParts = 8;

const std::string FirstKey = "key-one";
const std::string SecondKey = "key-two";

std::string hostParty(std::size_t host)
{
    return "host-" + std::to_string(host);
}

std::string endpointParty(std::size_t endpoint)
{
    return "endpoint-" + std::to_string(endpoint);
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
           int attempts, bool resumable)
{
    return {{"name", "r" + prefix}, {"host", "soak.example"}, {"path_prefix", prefix},
            {"kind", kind},         {"timeout_ms", 4000},     {"target_latency_ms", 500},
            {"priority", tier},     {"service", service},     {"max_attempts", attempts},
            {"public", false},      {"resumable", resumable}, {"gap_aim_ms", 300}};
}

bool isWholeStream(const std::string &body)
{
    std::string expected;
    for (int i = 1; i <= EventsOfStream; ++i)
        expected += "id: " + std::to_string(i) + "\ndata: event " + std::to_string(i) + "\n\n";
    return body == expected;
}

bool isStream(RequestKind kind)
{
    return kind == RequestKind::Stream || kind == RequestKind::ResumableStream;
}

bool mayRunOnceOnly(RequestKind kind)
{
    return kind == RequestKind::Unsafe || kind == RequestKind::Stream;
}

const char *kindName(RequestKind kind)
{
    const char *const names[] = {"safe", "unsafe", "stream", "resumable"};
    return names[std::size_t(kind)];
}

} // namespace

SoakRun::SoakRun(const SoakSettings &settings)
    : settings_(settings)
    , faults_(planFaults(settings.seed, settings.length, settings.hosts, Endpoints))
    , timers_(io_, clock_)
    , store_(io_, timers_, 0)
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
    endpoint.slots = 32;
    endpoint.events = EventsOfStream;
    endpoint.work = milliseconds(15);
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
        << number % Domains << "\n";
    const char *const listeners[] = {"callers", "readiness", "directory"};
    for (std::size_t i = 0; i < std::size(listeners); ++i)
        out << listeners[i] << "-address: \"" << host.ip << ":" << CallersPort + i << "\"\n";
    out << "gossip-port: 8004\nplacement-port: 8005\nrelay-port: 8006\nseeds: [\"" << net
        << ".1:8004\", \"" << net << ".2:8004\"]\nstore-address: \"127.0.0.1:" << host.store.port()
        << "\"\nstop-within-s: " << StopWithin.count() << "\n";
    hosts_.push_back(std::move(host));
}

void SoakRun::putConfiguration(int version, bool hasSecondKey)
{
    json workspaces{{{"name", "w1"}, {"api_keys", {FirstKey}}}};
    if (hasSecondKey)
        workspaces.push_back({{"name", "w2"}, {"api_keys", {SecondKey}}});
    store_.put("config", "main",
               {{"version", version},
                {"routes",
                 {route("/safe/", "safe", "plain", 1, 2, false),
                  route("/unsafe/", "unsafe", "plain", 1, 2, false),
                  route("/stream/", "streaming", "model", 2, 2, false),
                  route("/resume/", "streaming", "model", 0, 2, true)}},
                {"services",
                 {{{"name", "plain"}, {"max_connections", 200}},
                  {{"name", "model"}, {"max_connections", 200}, {"engine", {{"slots", 32}}}}}},
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
        store_.setMood(StoreMood::Refusing, host->store);
        break;
    case FaultKind::StoreLosesAnswers:
        store_.setMood(StoreMood::LosingAnswers, host->store);
        break;
    case FaultKind::StoreAway:
        store_.setMood(StoreMood::Refusing);
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
    }
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
        store_.setMood(StoreMood::Normal, host->store);
        break;
    case FaultKind::StoreAway:
        store_.setMood(StoreMood::Normal);
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
        endpoints_[fault.target]->announce("ready");
        break;
    }
}

int SoakRun::runsOf(const std::string &id) const
{
    const auto found = runs_.find(id);
    return found == runs_.end() ? 0 : found->second;
}

std::vector<std::string> SoakRun::violations() const
{
    std::vector<std::string> found;
    for (const auto &record : caller_.records()) {
        checkAnswer(*record, found);
        checkRuns(*record, found);
        checkPlannedStop(*record, found);
    }
    checkShares(found);
    return found;
}

// Each caller gets its own whole answer, or none that looks like one.
void SoakRun::checkAnswer(const CallRecord &record, std::vector<std::string> &found) const
{
    if (record.status == 401 && !(record.key == SecondKey && revokedAt_))
        found.push_back(record.id + ": a valid key was refused as unknown");
    if (record.status != 200)
        return;
    const std::size_t dot = record.signature.find('.');
    const std::string endpoint = record.signature.substr(0, dot);
    if (dot == std::string::npos || record.signature.substr(dot + 1) != record.id)
        found.push_back(record.id + ": answer of another request, signed " + record.signature);
    const bool isWhole = isStream(record.kind) ? isWholeStream(record.body)
                                               : record.body == "answer of " + endpoint;
    if (!isWhole)
        found.push_back(record.id + ": an answer that is not whole looks complete");
}

// What endpoints ran: at most once, nothing that was refused, nothing with a revoked key, nothing
// at an endpoint that has left.
void SoakRun::checkRuns(const CallRecord &record, std::vector<std::string> &found) const
{
    const int runs = runsOf(record.id);
    if (mayRunOnceOnly(record.kind) && runs > 1)
        found.push_back(record.id + ": ran " + std::to_string(runs) + " times");
    if (mayRunOnceOnly(record.kind) && record.status == 503 && runs > 0)
        found.push_back(record.id + ": refused as not run, and ran");
    const bool isRevoked = record.key == SecondKey && revokedAt_
        && record.sentAt > *revokedAt_ + units::Duration(RevokedWithin);
    if (isRevoked && runs > 0)
        found.push_back(record.id + ": ran with a key that was revoked before");
    const std::size_t left = leftEndpointThatRan(record);
    if (left != Endpoints)
        found.push_back(record.id + ": ran at " + endpointParty(left) + ", which had left");
}

// The endpoint that ran the request though it had left when the request was sent; Endpoints if
// none. While the store does not tell a host, it can't know, and a frozen host is late with
// everything.
std::size_t SoakRun::leftEndpointThatRan(const CallRecord &record) const
{
    const bool isExcused = std::any_of(faults_.begin(), faults_.end(), [&](const Fault &fault) {
        const bool isOfStore = fault.kind == FaultKind::StoreAway
            || ((fault.kind == FaultKind::StoreRefuses || fault.kind == FaultKind::StoreLosesAnswers
                 || fault.kind == FaultKind::Freeze)
                && fault.target == record.host);
        return isOfStore && overlaps(fault, record);
    });
    if (isExcused)
        return Endpoints;
    for (const Fault &fault : faults_) {
        if (fault.kind != FaultKind::EndpointLeaves
            || record.sentAt <= startedAt_ + fault.beginsAt + LeavesWithin
            || record.endedAt >= startedAt_ + fault.endsAt)
            continue;
        // Another fault of the same kind may have announced it as ready meanwhile.
        const bool isAlone = std::none_of(faults_.begin(), faults_.end(), [&](const Fault &other) {
            return &other != &fault && other.kind == fault.kind && other.target == fault.target;
        });
        const auto &runs = endpoints_[fault.target]->runs();
        const bool ran = std::any_of(runs.begin(), runs.end(),
                                     [&](const auto &run) { return run.requestId == record.id; });
        if (isAlone && ran)
            return fault.target;
    }
    return Endpoints;
}

bool SoakRun::overlaps(const Fault &fault, const CallRecord &record) const
{
    return startedAt_ + fault.beginsAt <= record.endedAt
        && record.sentAt <= startedAt_ + fault.endsAt + Afterwards;
}

// A planned stop cuts nothing off: a request that reached an endpoint gets its answer, unless its
// host, or an endpoint, was harmed as well.
void SoakRun::checkPlannedStop(const CallRecord &record, std::vector<std::string> &found) const
{
    if (record.status != 0 || !record.isEnded || runsOf(record.id) == 0)
        return;
    const bool isStopped = std::any_of(faults_.begin(), faults_.end(), [&](const Fault &fault) {
        return fault.kind == FaultKind::Stop && fault.target == record.host
            && overlaps(fault, record);
    });
    const bool isHarmed = std::any_of(faults_.begin(), faults_.end(), [&](const Fault &fault) {
        const bool isOfHost = (fault.kind == FaultKind::Kill || fault.kind == FaultKind::Freeze)
            && fault.target == record.host;
        const bool isOfPath
            = fault.kind == FaultKind::CutToEndpoint || fault.kind == FaultKind::CutFromEndpoint;
        return (isOfHost || isOfPath) && overlaps(fault, record);
    });
    if (isStopped && !isHarmed)
        found.push_back(record.id + ": cut off by a planned stop of " + hostParty(record.host));
}

// No kind of request or workspace starves, and all are served again when the faults are over.
void SoakRun::checkShares(std::vector<std::string> &found) const
{
    std::map<std::string, std::pair<int, int>> groups; // served, all
    std::pair<int, int> all;
    std::pair<int, int> last;
    const auto lastBegins = startedAt_ + settings_.length - settings_.length / RunLengthParts;
    for (const auto &record : caller_.records()) {
        if (record->key == SecondKey && revokedAt_ && record->sentAt >= *revokedAt_)
            continue;
        const int served = record->status == 200 ? 1 : 0;
        for (auto *group : {&groups[kindName(record->kind)], &groups[record->key], &all}) {
            group->first += served;
            ++group->second;
        }
        if (record->sentAt >= lastBegins) {
            last.first += served;
            ++last.second;
        }
    }
    for (const auto &[name, group] : groups) {
        if (double(group.first) / group.second < MinShareOfMean * all.first / all.second)
            found.push_back(name + ": starved");
    }
    if (last.second > 0 && double(last.first) / last.second < MinRecovered)
        found.push_back("not recovered: " + std::to_string(last.first) + " of "
                        + std::to_string(last.second) + " served at the end");
}

std::string SoakRun::table() const
{
    std::map<std::string, std::map<int, int>> counts;
    for (const auto &record : caller_.records())
        ++counts[kindName(record->kind)][record->isEnded ? record->status : -1];
    std::ostringstream out;
    for (const Fault &fault : faults_)
        out << fault.beginsAt.count() << "-" << fault.endsAt.count() << " ms "
            << faultName(fault.kind) << " " << fault.target << "\n";
    for (const auto &[kind, statuses] : counts) {
        out << kind << ":";
        for (const auto &[status, count] : statuses)
            out << " " << (status == 0 ? "none" : std::to_string(status)) << " " << count;
        out << "\n";
    }
    return out.str();
}

} // namespace monsoongrade::soak
