#ifndef REVIEW_STANDIN2_STANDIN_H
#define REVIEW_STANDIN2_STANDIN_H

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <sys/types.h>
#include <utility>
#include <vector>

// Stand-ins of the platform for the scripts of the review: the store, workers, clients and the
// starting of gateways. Blocking sockets, one thread per connection, no dependency.
namespace standin {

using Clock = std::chrono::steady_clock;
using Headers = std::vector<std::pair<std::string, std::string>>;

// Milliseconds since the start of the program.
std::int64_t nowMs();
void sleepMs(std::int64_t milliseconds);

// Appends lines with a time to record.txt, from any thread.
class Record
{
public:
    explicit Record(const std::string &path);
    ~Record();
    void line(const std::string &text);

private:
    std::mutex mutex_;
    int file_ = -1;
};

struct Message
{
    std::string start; // request or status line
    Headers headers;
    std::string body;
    bool isComplete = false; // false if the connection ended before

    std::string header(const std::string &name) const;
    std::string method() const;
    std::string target() const;
    int status() const;
};

// A connected socket. Closes it when it is destroyed.
class Connection
{
public:
    explicit Connection(int socket)
        : socket_(socket)
    {
    }
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    int socket() const { return socket_; }
    bool send(const std::string &bytes);
    // Reads the next message, or what there is of it until the connection ends or the time is over.
    Message read(std::int64_t timeoutMs);
    // True if the connection ends or bytes come within the time.
    bool waitReadable(std::int64_t timeoutMs) const;
    bool hasEnded() const;
    // Ends the connection with a reset.
    void reset();

private:
    bool fill(std::int64_t untilMs);

    int socket_;
    std::string buffer_;
};

struct SocketOptions
{
    int maxSegment = 0;
    int receiveBuffer = 0;
};

// Returns -1 if it fails.
int listenOn(const std::string &ip, std::uint16_t port);
int connectTo(const std::string &ip, std::uint16_t port, std::int64_t timeoutMs,
              const SocketOptions &options = {});
// Without waiting, for a client that has many connections.
int beginConnecting(const std::string &ip, std::uint16_t port);
bool isConnected(int socket);
std::uint16_t portOf(int socket);

std::string encode(const std::string &start, const Headers &headers, const std::string &body);
std::string encodeHead(const std::string &start, const Headers &headers);

// Accepts connections and handles each in a thread of its own until the program ends.
class Server
{
public:
    using Handler = std::function<void(Connection &)>;
    Server(const std::string &ip, Handler handler);
    std::uint16_t port() const { return port_; }

private:
    std::uint16_t port_ = 0;
};

// The platform's store: lists, watches, and objects of other kinds.
class Store
{
public:
    explicit Store(const std::string &ip);
    std::uint16_t port() const { return server_.port(); }
    // The spec is JSON.
    void put(const std::string &kind, const std::string &name, const std::string &spec);
    void remove(const std::string &kind, const std::string &name);

private:
    struct Object
    {
        std::uint64_t revision = 0;
        std::string spec;
        bool isRemoved = false;
    };
    using Objects = std::map<std::string, Object>;

    void serve(Connection &connection);
    std::pair<int, std::string> respond(const Message &request);
    std::pair<int, std::string> list(const std::string &kind, const std::string &query);
    std::pair<int, std::string> write(const Message &request, const std::string &kind,
                                      const std::string &name);
    static std::string text(const std::string &name, const Object &object);

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, Objects> kinds_;
    std::uint64_t revision_ = 1;
    Server server_;
};

// A gateway, started with the command of the deploy file.
class Gateway
{
public:
    struct Settings
    {
        std::string name;
        std::string ip;
        std::string zone;
        std::string folder;
        std::string storeAddress;
        std::vector<std::string> seeds;
        double cpuShare = 0.25;
        int memoryMb = 260;
        int maxDescriptors = 4100;
    };
    explicit Gateway(Settings settings);
    ~Gateway();
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    void start();
    void signal(int number) const;
    // Waits until the readiness address answers 200.
    bool waitReady(std::int64_t timeoutMs) const;
    // Asks the readiness address once.
    bool isReady() const;
    // True if the process has ended.
    bool hasEnded();
    // Resident memory in MB; 0 if the process has ended.
    double residentMb() const;
    const std::string &ip() const { return settings_.ip; }
    const std::string &name() const { return settings_.name; }

    static constexpr std::uint16_t CallersPort = 8227;
    static constexpr std::uint16_t ReadinessPort = 8220;
    static constexpr std::uint16_t DirectoryPort = 8224;

private:
    Settings settings_;
    pid_t process_ = -1;
};

// The requests that workers have run, by their ids.
class Runs
{
public:
    explicit Runs(Record &record)
        : record_(record)
    {
    }
    void add(const std::string &request, const std::string &worker);
    bool contains(const std::string &request) const;

private:
    Record &record_;
    mutable std::mutex mutex_;
    std::set<std::string> requests_;
};

// A store, workers and gateways on a loopback network of their own.
class Deployment
{
public:
    using WorkerHandler = std::function<void(Connection &, const std::string &id)>;
    explicit Deployment(std::string folder);

    // Starts a worker with the next address and enters it in the store as ready.
    void addWorker(const std::string &service, int slots, const WorkerHandler &handler);
    // Starts a gateway with the next address; name, ip, folder, store and seeds are filled in.
    Gateway &addGateway(Gateway::Settings settings);
    // Waits for all gateways. If one does not get ready, ends the program with 2.
    void waitReady(Record &record);
    std::string workerSpec(std::size_t index, const std::string &state) const;

    std::string network;
    Store store;
    struct Worker
    {
        std::string id;
        std::string service;
        std::string ip;
        int slots = 0;
        std::unique_ptr<Server> server;
    };
    std::vector<Worker> workers;
    std::vector<std::unique_ptr<Gateway>> gateways;

private:
    std::string folder_;
};

// False if the environment has TROUBLE=0, which leaves the disruption out.
bool hasTrouble();

// Ends the program at once, as threads of servers still run.
[[noreturn]] void endProgram(int exitCode);

// A loopback network that other runs are unlikely to use, such as "127.93.14."
std::string ownNetwork();

} // namespace standin

#endif // REVIEW_STANDIN2_STANDIN_H
