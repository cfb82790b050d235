#include "platform.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <stdexcept>

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

using nlohmann::json;

constexpr std::int64_t HistoryMs = 20000;
constexpr std::int64_t HeartbeatMs = 1200;
constexpr std::size_t PageSize = 500;
// Further tries of a client after a gateway could not be reached or gave no answer, as on the
// sheet.
constexpr int Retries = 1;

std::string queryValue(const std::string &query, const std::string &name)
{
    std::size_t at = 0;
    while (at < query.size()) {
        const std::size_t end = std::min(query.find('&', at), query.size());
        const std::string part = query.substr(at, end - at);
        if (part.compare(0, name.size() + 1, name + "=") == 0)
            return part.substr(name.size() + 1);
        at = end + 1;
    }
    return {};
}

std::string jsonResponse(int status, const std::string &body)
{
    return encodeResponse(status, {"Content-Type: application/json"}, body);
}

} // namespace

Record::Record(const std::string &path)
    : file_(path, std::ios::trunc)
    , startedAt_(nowMs())
{
}

void Record::write(const std::string &line)
{
    write(nowMs(), line);
}

void Record::write(std::int64_t at, const std::string &line)
{
    const std::lock_guard lock(mutex_);
    file_ << at - startedAt_ << " ms  " << line << std::endl;
}

Store::Store(Record &record)
    : record_(record)
    , server_("127.0.0.1", 0, [this](const Message &request, Connection &connection) {
        return serve(request, connection, nullptr);
    })
{
}

Store::~Store()
{
    {
        const std::lock_guard lock(mutex_);
        isStopping_ = true;
    }
    changed_.notify_all();
}

std::string Store::addAddress()
{
    Path &path = paths_.emplace_back();
    path.server = std::make_unique<Server>(
        "127.0.0.1", 0, [this, &path](const Message &request, Connection &connection) {
            return serve(request, connection, &path.isCut);
        });
    return path.server->address();
}

void Store::setCut(const std::string &address, bool isCut)
{
    for (Path &path : paths_) {
        if (path.server->address() == address)
            path.isCut = isCut;
    }
    changed_.notify_all();
}

void Store::put(const std::string &kind, const std::string &name, const std::string &spec)
{
    const std::lock_guard lock(mutex_);
    Object &object = objects_[kind][name];
    if (object.revision != 0 && object.spec == spec)
        return;
    object = {++revision_, spec};
    record({object.revision, kind, name, spec, false, 0});
}

void Store::remove(const std::string &kind, const std::string &name)
{
    const std::lock_guard lock(mutex_);
    if (objects_[kind].erase(name) == 0)
        return;
    record({++revision_, kind, name, "null", true, 0});
}

void Store::record(Event event)
{
    event.at = nowMs();
    history_.push_back(std::move(event));
    while (nowMs() - history_.front().at > HistoryMs) {
        historyBegins_ = history_.front().revision;
        history_.pop_front();
    }
    changed_.notify_all();
}

std::string Store::encode(const std::string &name, std::uint64_t revision, const std::string &spec)
{
    return "{\"metadata\":{\"name\":\"" + name + "\",\"revision\":" + std::to_string(revision)
        + ",\"created_at\":0,\"finalizers\":[],\"deleting\":false},\"spec\":" + spec
        + ",\"status\":null}";
}

bool Store::serve(const Message &request, Connection &connection, const std::atomic<bool> *isCut)
{
    const std::string response = handle(request, isCut);
    while (isCut != nullptr && *isCut && !isStopping_)
        sleepMs(10); // nothing gets through
    return connection.send(response);
}

std::string Store::handle(const Message &request, const std::atomic<bool> *isCut)
{
    const std::string path = request.target.substr(0, request.target.find('?'));
    const std::string query
        = path.size() < request.target.size() ? request.target.substr(path.size() + 1) : "";
    const std::string prefix = "/objects/";
    if (path.compare(0, prefix.size(), prefix) != 0)
        return jsonResponse(404, "{}");
    const std::string rest = path.substr(prefix.size());
    const std::string kind = rest.substr(0, rest.find('/'));
    const std::string name = kind.size() < rest.size() ? rest.substr(kind.size() + 1) : "";
    if (request.method != "GET")
        return write(request, kind, name);
    if (!queryValue(query, "watch").empty())
        return watch(kind, std::strtoull(queryValue(query, "watch").c_str(), nullptr, 10),
                     std::min(std::atoi(queryValue(query, "wait_ms").c_str()), 30000), isCut);
    if (name.empty())
        return list(kind, queryValue(query, "after"));
    const std::lock_guard lock(mutex_);
    const auto found = objects_[kind].find(name);
    if (found == objects_[kind].end())
        return jsonResponse(404, "{}");
    return jsonResponse(200, encode(name, found->second.revision, found->second.spec));
}

std::string Store::list(const std::string &kind, const std::string &after)
{
    const std::lock_guard lock(mutex_);
    std::string items;
    std::size_t count = 0;
    bool hasMore = false;
    const auto &objects = objects_[kind];
    for (auto object = objects.upper_bound(after); object != objects.end(); ++object) {
        hasMore = count == PageSize;
        if (hasMore)
            break;
        items += (count++ == 0 ? "" : ",")
            + encode(object->first, object->second.revision, object->second.spec);
    }
    return jsonResponse(200,
                        "{\"items\":[" + items + "],\"more\":" + (hasMore ? "true" : "false")
                            + ",\"as_of\":" + std::to_string(revision_) + "}");
}

std::string Store::watch(const std::string &kind, std::uint64_t from, int waitMs,
                         const std::atomic<bool> *isCut)
{
    const std::int64_t until = nowMs() + waitMs;
    std::unique_lock lock(mutex_);
    while (true) {
        if (from < historyBegins_ && historyBegins_ > 1)
            return jsonResponse(410, "{}");
        std::string events;
        for (const Event &event : history_) {
            if (event.kind == kind && event.revision > from)
                events += std::string(events.empty() ? "" : ",")
                    + "{\"object\":" + encode(event.name, event.revision, event.spec)
                    + ",\"deleted\":" + (event.deleted ? "true" : "false") + "}";
        }
        const bool isOver = nowMs() >= until || isStopping_;
        if ((!events.empty() && (isCut == nullptr || !*isCut)) || isOver)
            return jsonResponse(
                200, "{\"events\":[" + events + "],\"as_of\":" + std::to_string(revision_) + "}");
        changed_.wait_for(lock,
                          std::chrono::milliseconds(std::max<std::int64_t>(until - nowMs(), 1)));
    }
}

// Writes of the gateways: conditional ones are refused with the object if it has changed.
std::string Store::write(const Message &request, const std::string &kind, std::string name)
{
    if (request.method == "DELETE") {
        remove(kind, name);
        return jsonResponse(200, "{}");
    }
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object() || !body.contains("metadata"))
        return jsonResponse(400, "{}");
    const json &metadata = body["metadata"];
    if (request.method == "POST")
        name = metadata.value("name", "");
    const std::lock_guard lock(mutex_);
    Object &object = objects_[kind][name];
    const std::uint64_t expected = metadata.value("revision", std::uint64_t(0));
    if ((request.method == "POST" && object.revision != 0)
        || (expected != 0 && object.revision != expected))
        return jsonResponse(409, encode(name, object.revision, object.spec));
    object = {++revision_, body.value("spec", json()).dump()};
    record({object.revision, kind, name, object.spec, false, 0});
    record_.write("store: " + request.method + " " + kind + "/" + name + " by a gateway");
    return jsonResponse(200, encode(name, object.revision, object.spec));
}

void Arrivals::add(Arrival arrival)
{
    const std::lock_guard lock(mutex_);
    arrivals_.push_back(std::move(arrival));
}

std::vector<Arrival> Arrivals::all() const
{
    const std::lock_guard lock(mutex_);
    return arrivals_;
}

Worker::Worker(Store &store, Arrivals &arrivals, Settings settings)
    : store_(store)
    , arrivals_(arrivals)
    , settings_(std::move(settings))
    , born_(unixMs())
    , failureShare_(settings_.failureShare)
    , maxWaiting_(settings_.maxWaiting)
    , server_("127.0.0.1", 0,
              [this](const Message &request, Connection &connection) {
                  return serve(request, connection);
              })
    , beats_([this] { beat(); })
{
}

Worker::~Worker()
{
    leave();
    server_.stop();
}

std::string Worker::spec()
{
    return json{{"service", settings_.service},
                {"address", server_.address()},
                {"zone", "zone-a"},
                {"version", "1"},
                {"slots", settings_.slots},
                {"state", isDraining_ ? "draining" : "ready"},
                {"cold_remaining_ms", 0},
                {"sequence", ++sequence_},
                {"born", born_}}
        .dump();
}

void Worker::beat()
{
    std::unique_lock lock(stopMutex_);
    while (!isStopping_) {
        if (fellAt_ == 0)
            store_.put("servers", settings_.id, spec());
        stopChanged_.wait_for(lock, std::chrono::milliseconds(HeartbeatMs));
    }
}

void Worker::announceDraining()
{
    const std::lock_guard lock(stopMutex_);
    isDraining_ = true;
    store_.put("servers", settings_.id, spec());
}

void Worker::leave()
{
    {
        const std::lock_guard lock(stopMutex_);
        if (isStopping_)
            return;
        isStopping_ = true;
        store_.remove("servers", settings_.id);
    }
    stopChanged_.notify_all();
    beats_.join();
    server_.stop();
}

void Worker::setGarble(const Garble &garble)
{
    const std::lock_guard lock(garbleMutex_);
    garble_ = garble;
    answers_ = 0;
    toGarble_.clear();
}

// Sends the bytes that are due on the connection, and decides on those after the next response.
bool Worker::sendGarble(Connection &connection)
{
    const std::lock_guard lock(garbleMutex_);
    const bool isDue = toGarble_.erase(&connection) != 0;
    const int number = answers_++;
    if (int((number + 1) * garble_.share) > int(number * garble_.share))
        toGarble_.insert(&connection);
    if (!isDue)
        return true;
    ++garbled_;
    return connection.send(garble_.bytes);
}

bool Worker::takeSlot()
{
    std::unique_lock lock(slots_);
    if (running_ >= settings_.slots && waiting_ >= maxWaiting_)
        return false;
    ++waiting_;
    slotFree_.wait(lock, [this] { return running_ < settings_.slots; });
    --waiting_;
    ++running_;
    return true;
}

bool Worker::reject(Connection &connection, std::vector<std::string> headers)
{
    headers.emplace_back("Not-Executed: 1");
    const bool isSent = connection.send(encodeResponse(503, headers, ""));
    bool falls = false;
    {
        const std::lock_guard lock(slots_);
        ++rejected_;
        rejections_.push_back(nowMs());
        while (nowMs() - rejections_.front() > 1000)
            rejections_.pop_front();
        falls
            = settings_.brittle > 0 && int(rejections_.size()) > settings_.brittle && fellAt_ == 0;
        if (falls)
            fellAt_ = nowMs();
    }
    if (falls)
        server_.stop();
    return isSent && !falls;
}

bool Worker::serve(const Message &request, Connection &connection)
{
    const std::string id = request.header("attempt-id");
    std::vector<std::string> headers{"Attempt-Id: " + id, "Keep-Alive: timeout=30"};
    if (request.target == "/healthz")
        return connection.send(
            encodeResponse(isDraining_ ? 503 : 200, {"Instance-Id: " + settings_.id}, ""));
    Arrival arrival{nowMs(), settings_.id, settings_.service, id, request.target, false};
    const std::string expected = request.header("expect-instance");
    if (!expected.empty() && expected != settings_.id) {
        arrivals_.add(arrival);
        headers.emplace_back("Not-Executed: 1");
        return connection.send(encodeResponse(421, headers, ""));
    }
    if (settings_.brittle > 0)
        headers.push_back("Server-Brittle: " + std::to_string(settings_.brittle));
    if (!takeSlot()) {
        arrivals_.add(arrival);
        return reject(connection, headers);
    }
    arrival.ran = true;
    arrivals_.add(arrival);
    const bool isGarbleSent = sendGarble(connection);
    sleepMs(settings_.workMs);
    {
        const std::lock_guard lock(slots_);
        --running_;
    }
    slotFree_.notify_one();
    if (!isGarbleSent || fellAt_ != 0)
        return false;
    // Spread evenly, so that each run of the case has the same share.
    const int number = count_++;
    const double share = failureShare_;
    const bool fails = int((number + 1) * share) > int(number * share);
    headers.push_back("Response-Signature: " + settings_.id + "." + id);
    if (isDraining_)
        headers.emplace_back("Connection: close");
    const bool isSent = connection.send(encodeResponse(
        fails ? 500 : 200, headers, "answer of " + settings_.id + " to " + id + "\n"));
    return isSent && !isDraining_;
}

void Attempts::add(Attempt attempt)
{
    const std::lock_guard lock(mutex_);
    attempts_.push_back(std::move(attempt));
}

std::vector<Attempt> Attempts::all() const
{
    const std::lock_guard lock(mutex_);
    return attempts_;
}

void writeAll(Record &record, const Attempts &attempts, const Arrivals &arrivals)
{
    std::multimap<std::int64_t, std::string> lines;
    for (const Attempt &attempt : attempts.all()) {
        lines.emplace(attempt.sentAt,
                      "sent " + attempt.id + " " + attempt.target + " to " + attempt.gateway);
        lines.emplace(attempt.endedAt,
                      "answered " + attempt.id + " "
                          + (attempt.status == 0 ? "nothing" : std::to_string(attempt.status))
                          + (attempt.isSigned ? " signed" : ""));
    }
    for (const Arrival &arrival : arrivals.all())
        lines.emplace(arrival.at,
                      std::string(arrival.ran ? "ran " : "rejected ") + arrival.id + " at "
                          + arrival.worker);
    for (const auto &[at, line] : lines)
        record.write(at, line);
}

Client::Client(Attempts &attempts, Settings settings)
    : attempts_(attempts)
    , settings_(std::move(settings))
    , thread_([this] { run(); })
{
}

Client::~Client()
{
    isStopping_ = true;
    thread_.join();
}

void Client::run()
{
    std::unique_ptr<Connection> connection;
    int retries = 0;
    for (int number = 0; !isStopping_; ++number) {
        Attempt attempt;
        attempt.id = settings_.name + "-" + std::to_string(number);
        attempt.target
            = settings_.path + (settings_.isSameTarget ? "all" : "x" + std::to_string(number));
        if (connection == nullptr)
            connection = Connection::open(settings_.gateway, 1000);
        for (std::size_t i = 0; connection == nullptr && i < settings_.others.size(); ++i) {
            settings_.gateway
                = settings_.others[std::size_t(number + int(i)) % settings_.others.size()];
            connection = Connection::open(settings_.gateway, 1000);
        }
        attempt.gateway = settings_.gateway;
        attempt.sentAt = nowMs();
        std::string head = settings_.method + " " + attempt.target
            + " HTTP/1.1\r\nHost: " + settings_.host + "\r\nAttempt-Id: " + attempt.id
            + "\r\nDeadline-Ms: " + std::to_string(settings_.deadlineMs) + "\r\n";
        if (!settings_.key.empty())
            head += "Authorization: Bearer " + settings_.key + "\r\n";
        if (settings_.method != "GET")
            head += "Content-Length: " + std::to_string(attempt.id.size()) + "\r\n";
        head += "\r\n";
        if (settings_.method != "GET")
            head += attempt.id;
        std::optional<Message> response;
        if (connection != nullptr && connection->send(head))
            response = connection->read(settings_.deadlineMs);
        attempt.endedAt = nowMs();
        if (response) {
            attempt.status = response->status;
            attempt.isSigned = !response->header("response-signature").empty();
        }
        if (!response || response->header("connection") == "close")
            connection.reset();
        attempts_.add(attempt);
        const double pause = response ? std::atof(response->header("retry-after").c_str()) : 0;
        if (attempt.status == 0 && retries++ < Retries)
            continue;
        retries = 0;
        sleepMs(std::max(settings_.pauseMs, std::min(int(pause * 1000), settings_.deadlineMs / 3)));
    }
}

Gateway::Gateway(int number, const std::string &net, const std::string &folder,
                 const std::string &storeAddress, const std::vector<std::string> &seeds)
    : ip_(net + "." + std::to_string(number))
    , settingsPath_(folder + "/gateway-" + std::to_string(number) + ".yaml")
    , logPath_(folder + "/gateway-" + std::to_string(number) + ".log")
{
    // The settings of deploy/settings.yaml.template, with the figures of the small deployments.
    std::ofstream out(settingsPath_);
    out << "host: front-" << number << "\nip: \"" << ip_ << "\"\nfailure-domain: zone-"
        << char('a' + (number - 1) % 3) << "\ncallers-address: \"" << ip_
        << ":8001\"\nreadiness-address: \"" << ip_ << ":8002\"\ndirectory-address: \"" << ip_
        << ":8003\"\nmetrics-port: 9464\ngossip-port: 8004\nplacement-port: 8005\n"
        << "relay-port: 8004\nseeds: [";
    for (std::size_t i = 0; i < seeds.size(); ++i)
        out << (i == 0 ? "" : ", ") << '"' << seeds[i] << ":8004\"";
    out << "]\nstore-address: \"" << storeAddress
        << "\"\ncpu-share: 0.25\nmemory-mb: 260\nmax-descriptors: 4100\n"
        << "revocation-bound-ms: 5000\nstop-within-s: 8\nretry-share: 0.2\nretry-fixed: 52\n"
        << "retry-window-s: 10\n";
}

Gateway::~Gateway()
{
    kill();
}

void Gateway::start()
{
    process_ = fork();
    if (process_ < 0)
        throw std::runtime_error("can't start a process");
    if (process_ == 0) {
        const int log = open(logPath_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(log, 1);
        dup2(log, 2);
        const char *const program = "target/programs/monsoongrade-gateway";
        execl(program, program, "--config", settingsPath_.c_str(), nullptr);
        _exit(127);
    }
}

void Gateway::kill()
{
    if (process_ <= 0)
        return;
    ::kill(process_, SIGKILL);
    waitpid(process_, nullptr, 0);
    process_ = 0;
}

bool Gateway::isRunning()
{
    if (process_ > 0 && waitpid(process_, nullptr, WNOHANG) == process_)
        process_ = 0;
    return process_ > 0;
}

bool Gateway::awaitReady(int limitMs) const
{
    const std::int64_t until = nowMs() + limitMs;
    while (nowMs() < until) {
        const auto connection = Connection::open(ip_ + ":8002", 200);
        if (connection != nullptr
            && connection->send("GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n")) {
            const auto response = connection->read(500);
            if (response && response->status == 200)
                return true;
        }
        sleepMs(50);
    }
    return false;
}

std::string ownNet()
{
    const int number = int(getpid());
    return "127." + std::to_string(100 + number / 250 % 100) + "."
        + std::to_string(number % 250 + 1);
}

} // namespace review
