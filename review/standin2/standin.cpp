#include "standin.h"

#include <algorithm>
#include <arpa/inet.h>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <strings.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace standin {

namespace {

const Clock::time_point Start = Clock::now();

sockaddr_in addressOf(const std::string &ip, std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

std::string trimmed(const std::string &text)
{
    const auto begin = text.find_first_not_of(" \t\r");
    const auto end = text.find_last_not_of(" \t\r");
    return begin == std::string::npos ? "" : text.substr(begin, end - begin + 1);
}

std::string queryValue(const std::string &query, const std::string &name)
{
    std::istringstream parts(query);
    for (std::string part; std::getline(parts, part, '&');) {
        if (part.compare(0, name.size() + 1, name + "=") == 0)
            return part.substr(name.size() + 1);
    }
    return {};
}

// The text of a member of a JSON object, without its quotes if it has some. Enough for what
// gateways write.
std::string member(const std::string &json, const std::string &name)
{
    const auto key = json.find("\"" + name + "\":");
    if (key == std::string::npos)
        return {};
    std::size_t at = key + name.size() + 3;
    if (json[at] == '"')
        return json.substr(at + 1, json.find('"', at + 1) - at - 1);
    int depth = 0;
    const std::size_t begin = at;
    for (; at < json.size(); ++at) {
        const char c = json[at];
        if (c == '{' || c == '[')
            ++depth;
        if ((c == '}' || c == ']') && depth-- == 0)
            break;
        if (c == ',' && depth == 0)
            break;
    }
    return json.substr(begin, at - begin);
}

} // namespace

std::int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - Start).count();
}

void sleepMs(std::int64_t milliseconds)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

Record::Record(const std::string &path)
    : file_(open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644))
{
}

Record::~Record()
{
    close(file_);
}

void Record::line(const std::string &text)
{
    char time[32];
    std::snprintf(time, sizeof(time), "%8.3f ", double(nowMs()) / 1000);
    const std::string whole = time + text + "\n";
    const std::lock_guard lock(mutex_);
    if (write(file_, whole.data(), whole.size()) < 0)
        std::perror("record");
}

std::string Message::header(const std::string &name) const
{
    for (const auto &[key, value] : headers) {
        if (strcasecmp(key.c_str(), name.c_str()) == 0)
            return value;
    }
    return {};
}

std::string Message::method() const
{
    return start.substr(0, start.find(' '));
}

std::string Message::target() const
{
    const auto first = start.find(' ');
    return first == std::string::npos ? "" : start.substr(first + 1, start.rfind(' ') - first - 1);
}

int Message::status() const
{
    return start.size() < 12 ? 0 : std::atoi(start.c_str() + 9);
}

Connection::~Connection()
{
    if (socket_ >= 0)
        close(socket_);
}

bool Connection::send(const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count
            = ::send(socket_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += std::size_t(count);
    }
    return true;
}

bool Connection::waitReadable(std::int64_t timeoutMs) const
{
    pollfd waiting{socket_, POLLIN, 0};
    return poll(&waiting, 1, int(std::max<std::int64_t>(timeoutMs, 0))) > 0;
}

bool Connection::hasEnded() const
{
    char byte = 0;
    const ssize_t count = recv(socket_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void Connection::reset()
{
    const linger now{1, 0};
    setsockopt(socket_, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    close(socket_);
    socket_ = -1;
}

bool Connection::fill(std::int64_t untilMs)
{
    if (!waitReadable(untilMs - nowMs()))
        return false;
    char bytes[16384];
    const ssize_t count = recv(socket_, bytes, sizeof(bytes), 0);
    if (count <= 0)
        return false;
    buffer_.append(bytes, std::size_t(count));
    return true;
}

Message Connection::read(std::int64_t timeoutMs)
{
    const std::int64_t until = nowMs() + timeoutMs;
    Message message;
    std::size_t headEnd = 0;
    while ((headEnd = buffer_.find("\r\n\r\n")) == std::string::npos) {
        if (!fill(until))
            return message;
    }
    std::istringstream head(buffer_.substr(0, headEnd));
    std::getline(head, message.start);
    message.start = trimmed(message.start);
    for (std::string line; std::getline(head, line);) {
        const auto colon = line.find(':');
        if (colon != std::string::npos)
            message.headers.emplace_back(trimmed(line.substr(0, colon)),
                                         trimmed(line.substr(colon + 1)));
    }
    buffer_.erase(0, headEnd + 4);
    if (strcasecmp(message.header("Transfer-Encoding").c_str(), "chunked") != 0) {
        const std::size_t length
            = std::size_t(std::atoll(message.header("Content-Length").c_str()));
        while (buffer_.size() < length) {
            if (!fill(until)) {
                message.body = std::exchange(buffer_, {});
                return message;
            }
        }
        message.body = buffer_.substr(0, length);
        buffer_.erase(0, length);
        message.isComplete = true;
        return message;
    }
    while (true) {
        std::size_t lineEnd = 0;
        while ((lineEnd = buffer_.find("\r\n")) == std::string::npos) {
            if (!fill(until))
                return message;
        }
        const std::size_t length = std::strtoul(buffer_.c_str(), nullptr, 16);
        while (buffer_.size() < lineEnd + 2 + length + 2) {
            if (!fill(until))
                return message;
        }
        message.body.append(buffer_, lineEnd + 2, length);
        buffer_.erase(0, lineEnd + 2 + length + 2);
        if (length == 0) {
            message.isComplete = true;
            return message;
        }
    }
}

int listenOn(const std::string &ip, std::uint16_t port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in address = addressOf(ip, port);
    if (bind(socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0
        || listen(socket, 1024) != 0) {
        close(socket);
        return -1;
    }
    return socket;
}

std::uint16_t portOf(int socket)
{
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    getsockname(socket, reinterpret_cast<sockaddr *>(&address), &size);
    return ntohs(address.sin_port);
}

int connectTo(const std::string &ip, std::uint16_t port, std::int64_t timeoutMs,
              const SocketOptions &options)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (options.maxSegment > 0)
        setsockopt(socket, IPPROTO_TCP, TCP_MAXSEG, &options.maxSegment, sizeof(int));
    if (options.receiveBuffer > 0)
        setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &options.receiveBuffer, sizeof(int));
    const sockaddr_in address = addressOf(ip, port);
    int error = 0;
    if (connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        pollfd waiting{socket, POLLOUT, 0};
        socklen_t size = sizeof(error);
        if (errno != EINPROGRESS || poll(&waiting, 1, int(timeoutMs)) != 1
            || getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
            close(socket);
            return -1;
        }
    }
    fcntl(socket, F_SETFL, fcntl(socket, F_GETFL) & ~O_NONBLOCK);
    return socket;
}

int beginConnecting(const std::string &ip, std::uint16_t port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const sockaddr_in address = addressOf(ip, port);
    if (connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0
        && errno != EINPROGRESS)
        std::perror("connect");
    return socket;
}

bool isConnected(int socket)
{
    pollfd waiting{socket, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof(error);
    return poll(&waiting, 1, 0) == 1 && getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size) == 0
        && error == 0;
}

std::string encodeHead(const std::string &start, const Headers &headers)
{
    std::string text = start + "\r\n";
    for (const auto &[name, value] : headers)
        text.append(name).append(": ").append(value).append("\r\n");
    return text + "\r\n";
}

std::string encode(const std::string &start, const Headers &headers, const std::string &body)
{
    Headers all = headers;
    all.emplace_back("Content-Length", std::to_string(body.size()));
    return encodeHead(start, all) + body;
}

Server::Server(const std::string &ip, Handler handler)
{
    const int socket = listenOn(ip, 0);
    port_ = portOf(socket);
    std::thread([socket, handler = std::move(handler)] {
        while (true) {
            const int accepted = accept4(socket, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0)
                continue;
            const int on = 1;
            setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            std::thread([accepted, handler] {
                Connection connection(accepted);
                handler(connection);
            }).detach();
        }
    }).detach();
}

Store::Store(const std::string &ip)
    : server_(ip, [this](Connection &connection) { serve(connection); })
{
}

void Store::put(const std::string &kind, const std::string &name, const std::string &spec)
{
    const std::lock_guard lock(mutex_);
    kinds_[kind][name] = {++revision_, spec, false};
    changed_.notify_all();
}

void Store::remove(const std::string &kind, const std::string &name)
{
    const std::lock_guard lock(mutex_);
    kinds_[kind][name] = {++revision_, "null", true};
    changed_.notify_all();
}

void Store::serve(Connection &connection)
{
    constexpr std::int64_t IdleMs = 60000;
    while (true) {
        const Message request = connection.read(IdleMs);
        if (!request.isComplete)
            return;
        const auto [status, body] = respond(request);
        const std::string start = "HTTP/1.1 " + std::to_string(status) + " Answer";
        if (!connection.send(encode(start, {{"Content-Type", "application/json"}}, body)))
            return;
    }
}

std::string Store::text(const std::string &name, const Object &object)
{
    return R"({"metadata":{"name":")" + name + R"(","revision":)" + std::to_string(object.revision)
        + R"(,"created_at":1,"finalizers":[],"deleting":false},"spec":)" + object.spec
        + R"(,"status":null})";
}

std::pair<int, std::string> Store::respond(const Message &request)
{
    std::string path = request.target();
    std::string query;
    if (const auto mark = path.find('?'); mark != std::string::npos) {
        query = path.substr(mark + 1);
        path.resize(mark);
    }
    const std::string prefix = "/objects/";
    if (path.compare(0, prefix.size(), prefix) != 0)
        return {404, "{}"};
    std::string kind = path.substr(prefix.size());
    std::string name;
    if (const auto slash = kind.find('/'); slash != std::string::npos) {
        name = kind.substr(slash + 1);
        kind.resize(slash);
    }
    if (request.method() != "GET")
        return write(request, kind, name);
    if (name.empty())
        return list(kind, query);
    const std::lock_guard lock(mutex_);
    const auto found = kinds_[kind].find(name);
    if (found == kinds_[kind].end() || found->second.isRemoved)
        return {404, "{}"};
    return {200, text(name, found->second)};
}

std::pair<int, std::string> Store::list(const std::string &kind, const std::string &query)
{
    std::unique_lock lock(mutex_);
    std::string items;
    const auto append = [&](const std::string &entry) {
        items += (items.empty() ? "" : ",") + entry;
    };
    const std::string watch = queryValue(query, "watch");
    if (watch.empty()) {
        for (const auto &[name, object] : kinds_[kind]) {
            if (!object.isRemoved)
                append(text(name, object));
        }
        return {200,
                "{\"items\":[" + items + "],\"more\":false,\"as_of\":" + std::to_string(revision_)
                    + "}"};
    }
    const std::uint64_t from = std::strtoull(watch.c_str(), nullptr, 10);
    const auto hasNews = [&] {
        const Objects &objects = kinds_[kind];
        return std::any_of(objects.begin(), objects.end(),
                           [&](const auto &each) { return each.second.revision > from; });
    };
    const auto wait = std::chrono::milliseconds(std::atoll(queryValue(query, "wait_ms").c_str()));
    changed_.wait_until(lock, Clock::now() + wait, hasNews);
    for (const auto &[name, object] : kinds_[kind]) {
        if (object.revision > from)
            append(std::string("{\"deleted\":") + (object.isRemoved ? "true" : "false")
                   + ",\"object\":" + text(name, object) + "}");
    }
    return {200, "{\"events\":[" + items + "],\"as_of\":" + std::to_string(revision_) + "}"};
}

std::pair<int, std::string> Store::write(const Message &request, const std::string &kind,
                                         const std::string &name)
{
    const std::lock_guard lock(mutex_);
    Objects &objects = kinds_[kind];
    const std::string given = request.method() == "POST" ? member(request.body, "name") : name;
    Object &object = objects[given];
    const bool exists = object.revision > 0 && !object.isRemoved;
    if (request.method() == "POST" && exists)
        return {409, text(given, object)};
    if (request.method() != "POST" && !exists)
        return {404, "{}"};
    const std::string expected = member(request.body, "revision");
    if (!expected.empty() && exists
        && std::strtoull(expected.c_str(), nullptr, 10) != object.revision)
        return {409, text(given, object)};
    object.revision = ++revision_;
    object.isRemoved = request.method() == "DELETE";
    object.spec = object.isRemoved ? "null" : member(request.body, "spec");
    changed_.notify_all();
    return {200, text(given, object)};
}

Gateway::Gateway(Settings settings)
    : settings_(std::move(settings))
{
}

Gateway::~Gateway()
{
    if (process_ > 0 && !hasEnded()) {
        kill(process_, SIGCONT);
        kill(process_, SIGKILL);
        waitpid(process_, nullptr, 0);
    }
}

void Gateway::start()
{
    const std::string path = settings_.folder + "/" + settings_.name + ".yaml";
    std::string seeds;
    for (const std::string &seed : settings_.seeds)
        seeds += (seeds.empty() ? "\"" : ", \"") + seed + "\"";
    const std::string ip = settings_.ip;
    std::ofstream file(path);
    file << "host: \"" << settings_.name << "\"\n"
         << "ip: \"" << ip << "\"\n"
         << "failure-domain: \"" << settings_.zone << "\"\n"
         << "callers-address: \"" << ip << ":" << CallersPort << "\"\n"
         << "readiness-address: \"" << ip << ":" << ReadinessPort << "\"\n"
         << "directory-address: \"" << ip << ":" << DirectoryPort << "\"\n"
         << "metrics-port: 9464\n"
         << "gossip-port: 7340\n"
         << "placement-port: 7355\n"
         << "relay-port: 7340\n"
         << "seeds: [" << seeds << "]\n"
         << "store-address: \"" << settings_.storeAddress << "\"\n"
         << "cpu-share: " << settings_.cpuShare << "\n"
         << "memory-mb: " << settings_.memoryMb << "\n"
         << "max-descriptors: " << settings_.maxDescriptors << "\n"
         << "revocation-bound-ms: 5000\n"
         << "stop-within-s: 8\n"
         << "retry-share: 0.2\n"
         << "retry-fixed: 52\n"
         << "retry-window-s: 10\n";
    file.close();
    const std::string log = settings_.folder + "/" + settings_.name + ".log";
    process_ = fork();
    if (process_ != 0)
        return;
    const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(output, 1);
    dup2(output, 2);
    execl("target/programs/monsoongrade-gateway", "target/programs/monsoongrade-gateway",
          "--config", path.c_str(), nullptr);
    _exit(127);
}

void Gateway::signal(int number) const
{
    if (process_ > 0)
        kill(process_, number);
}

bool Gateway::isReady() const
{
    const int socket = connectTo(settings_.ip, ReadinessPort, 500);
    if (socket < 0)
        return false;
    Connection connection(socket);
    connection.send(encode("GET /ready HTTP/1.1", {{"Host", "gateway"}}, ""));
    return connection.read(1000).status() == 200;
}

bool Gateway::waitReady(std::int64_t timeoutMs) const
{
    const std::int64_t until = nowMs() + timeoutMs;
    while (nowMs() < until) {
        if (isReady())
            return true;
        sleepMs(50);
    }
    return false;
}

bool Gateway::hasEnded()
{
    if (process_ > 0 && waitpid(process_, nullptr, WNOHANG) == process_)
        process_ = -1;
    return process_ <= 0;
}

double Gateway::residentMb() const
{
    std::ifstream status("/proc/" + std::to_string(process_) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.compare(0, 6, "VmRSS:") == 0)
            return double(std::atoll(line.c_str() + 6)) / 1024;
    }
    return 0;
}

void Runs::add(const std::string &request, const std::string &worker)
{
    record_.line("run " + request + " at " + worker);
    const std::lock_guard lock(mutex_);
    requests_.insert(request);
}

bool Runs::contains(const std::string &request) const
{
    const std::lock_guard lock(mutex_);
    return requests_.count(request) != 0;
}

Deployment::Deployment(std::string folder)
    : network(ownNetwork())
    , store(network + "250")
    , folder_(std::move(folder))
{
}

void Deployment::addWorker(const std::string &service, int slots, const WorkerHandler &handler)
{
    Worker worker;
    worker.id = "i-worker" + std::to_string(workers.size() + 1);
    worker.service = service;
    worker.ip = network + std::to_string(201 + workers.size());
    worker.slots = slots;
    worker.server = std::make_unique<Server>(
        worker.ip, [id = worker.id, handler](Connection &each) { handler(each, id); });
    workers.push_back(std::move(worker));
    store.put("servers", workers.back().id, workerSpec(workers.size() - 1, "ready"));
}

std::string Deployment::workerSpec(std::size_t index, const std::string &state) const
{
    const Worker &worker = workers[index];
    return R"({"service":")" + worker.service + R"(","address":")" + worker.ip + ":"
        + std::to_string(worker.server->port()) + R"(","zone":"zone-a","version":"v1","slots":)"
        + std::to_string(worker.slots) + R"(,"state":")" + state
        + R"(","cold_remaining_ms":0,"sequence":1})";
}

Gateway &Deployment::addGateway(Gateway::Settings settings)
{
    const std::string number = std::to_string(gateways.size() + 1);
    settings.name = "front-" + number;
    settings.ip = network + number;
    settings.zone = "zone-a";
    settings.folder = folder_;
    settings.storeAddress = network + "250:" + std::to_string(store.port());
    settings.seeds = {network + "1:8229", network + "2:8229"};
    gateways.push_back(std::make_unique<Gateway>(std::move(settings)));
    gateways.back()->start();
    return *gateways.back();
}

void Deployment::waitReady(Record &record)
{
    constexpr std::int64_t MaxStartMs = 8000;
    for (const auto &gateway : gateways) {
        if (!gateway->waitReady(MaxStartMs)) {
            record.line("could not run: " + gateway->name() + " is not ready");
            gateways.clear();
            endProgram(2);
        }
        record.line(gateway->name() + " ready at " + gateway->ip());
    }
}

bool hasTrouble()
{
    const char *trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::string(trouble) != "0";
}

void endProgram(int exitCode)
{
    _exit(exitCode);
}

std::string ownNetwork()
{
    const int process = int(getpid());
    return "127." + std::to_string(60 + process % 150) + "." + std::to_string(process / 150 % 250)
        + ".";
}

} // namespace standin
