#ifndef MONSOONGRADE_REVIEW_STANDIN_PLATFORM_H
#define MONSOONGRADE_REVIEW_STANDIN_PLATFORM_H

#include "http.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <fstream>
#include <memory>

#include <sys/types.h>

namespace review {

// Appends lines with the time since the start of the case to record.txt.
class Record
{
public:
    explicit Record(const std::string &path);

    void write(const std::string &line);
    // For what happened at another time.
    void write(std::int64_t at, const std::string &line);

private:
    std::mutex mutex_;
    std::ofstream file_;
    std::int64_t startedAt_;
};

// The platform's metadata store: objects by kind and name with one revision counter, lists, watches
// over the last 20 s, conditional writes. A spec is kept and returned as the bytes that its writer
// sent.
class Store
{
public:
    explicit Store(Record &record);
    ~Store();

    std::string address() const { return server_.address(); }
    // Adds an address of the same store, for one machine.
    std::string addAddress();
    // Cuts the machine with this address off: its calls get no answer until the path has healed.
    void setCut(const std::string &address, bool isCut);
    // A write by the operator, a worker or another writer. Returns once the store has acknowledged.
    void put(const std::string &kind, const std::string &name, const std::string &spec);
    void remove(const std::string &kind, const std::string &name);

private:
    struct Object
    {
        std::uint64_t revision = 0;
        std::string spec;
    };
    struct Event
    {
        std::uint64_t revision = 0;
        std::string kind;
        std::string name;
        std::string spec;
        bool deleted = false;
        std::int64_t at = 0;
    };
    struct Path
    {
        std::unique_ptr<Server> server;
        std::atomic<bool> isCut{false};
    };

    static std::string encode(const std::string &name, std::uint64_t revision,
                              const std::string &spec);
    bool serve(const Message &request, Connection &connection, const std::atomic<bool> *isCut);
    std::string handle(const Message &request, const std::atomic<bool> *isCut);
    std::string list(const std::string &kind, const std::string &after);
    std::string watch(const std::string &kind, std::uint64_t from, int waitMs,
                      const std::atomic<bool> *isCut);
    std::string write(const Message &request, const std::string &kind, std::string name);
    void record(Event event);

    Record &record_;
    std::mutex mutex_;
    std::condition_variable changed_;
    bool isStopping_ = false;
    std::map<std::string, std::map<std::string, Object>> objects_;
    std::deque<Event> history_;
    std::uint64_t revision_ = 1;
    std::uint64_t historyBegins_ = 1;
    std::deque<Path> paths_;
    Server server_;
};

// A request that reached a worker, with whether it ran there.
struct Arrival
{
    std::int64_t at = 0;
    std::string worker;
    std::string service;
    std::string id;
    std::string target;
    bool ran = false;
};

// All that reached the workers.
class Arrivals
{
public:
    void add(Arrival arrival);
    std::vector<Arrival> all() const;

private:
    mutable std::mutex mutex_;
    std::vector<Arrival> arrivals_;
};

// A worker: registers itself in the store, writes there every 1.2 s, and answers each request whole
// and signed after its work. With draining announced it serves on until it ends.
class Worker
{
public:
    struct Settings
    {
        std::string id;
        std::string service;
        int workMs = 60;
        int slots = 6;
        double failureShare = 0; // answered with its own 500, which counts as run
        int maxWaiting = 1000000; // requests that wait for a slot; more are rejected
        int brittle = 0; // survives so many rejections a second, and says so; 0: any number
    };

    // A faulty worker: bytes that it sends at the point where the next response of a connection is
    // expected, after this share of its responses.
    struct Garble
    {
        double share = 0;
        std::string bytes;
    };

    Worker(Store &store, Arrivals &arrivals, Settings settings);
    ~Worker();

    const std::string &id() const { return settings_.id; }
    std::string address() const { return server_.address(); }
    void setFailureShare(double share) { failureShare_ = share; }
    void setGarble(const Garble &garble);
    // Times that such bytes were sent.
    int garbled() const { return garbled_; }
    // Returns once the store has acknowledged the report.
    void announceDraining();
    // The planned end after draining.
    void leave();
    // When it fell over because it had to reject too many requests; 0 if it didn't. Its entry
    // stays.
    std::int64_t fellAt() const { return fellAt_; }
    int rejected() const { return rejected_; }
    void setMaxWaiting(int requests) { maxWaiting_ = requests; }

private:
    std::string spec();
    void beat();
    bool serve(const Message &request, Connection &connection);
    bool sendGarble(Connection &connection);
    bool reject(Connection &connection, std::vector<std::string> headers);
    bool takeSlot();

    Store &store_;
    Arrivals &arrivals_;
    Settings settings_;
    std::int64_t born_;
    std::atomic<double> failureShare_;
    std::atomic<int> sequence_{0};
    std::atomic<bool> isDraining_{false};
    std::atomic<int> count_{0};
    std::mutex slots_;
    std::condition_variable slotFree_;
    int running_ = 0;
    int waiting_ = 0;
    std::deque<std::int64_t> rejections_; // of the last second
    std::atomic<int> rejected_{0};
    std::atomic<int> maxWaiting_;
    std::atomic<std::int64_t> fellAt_{0};
    std::mutex garbleMutex_;
    Garble garble_;
    int answers_ = 0; // since the garble was set
    std::set<const Connection *> toGarble_;
    std::atomic<int> garbled_{0};
    std::mutex stopMutex_;
    std::condition_variable stopChanged_;
    bool isStopping_ = false;
    Server server_;
    std::thread beats_;
};

// What a client attempt got.
struct Attempt
{
    std::string id;
    std::string gateway;
    std::string target;
    std::int64_t sentAt = 0;
    std::int64_t endedAt = 0;
    int status = 0; // 0: none
    bool isSigned = false;
};

class Attempts
{
public:
    void add(Attempt attempt);
    std::vector<Attempt> all() const;

private:
    mutable std::mutex mutex_;
    std::vector<Attempt> attempts_;
};

// Writes what was sent and answered, and what ran, in order of time.
void writeAll(Record &record, const Attempts &attempts, const Arrivals &arrivals);

// Sends one request after the other to one gateway, on a kept connection, until it is stopped.
class Client
{
public:
    struct Settings
    {
        std::string name;
        std::string gateway; // IP:PORT
        std::vector<std::string> others; // used in turn where a gateway can't be reached
        std::string host;
        std::string method = "GET";
        std::string path;
        bool isSameTarget = false; // for all requests; else each has a target of its own
        std::string key;
        int pauseMs = 50;
        int deadlineMs = 3000;
    };

    Client(Attempts &attempts, Settings settings);
    ~Client();

    // Ends after the request that is open.
    void stop() { isStopping_ = true; }

private:
    void run();

    Attempts &attempts_;
    Settings settings_;
    std::atomic<bool> isStopping_{false};
    std::thread thread_;
};

// A gateway as a process of its own, with the command of the deploy file.
class Gateway
{
public:
    Gateway(int number, const std::string &net, const std::string &folder,
            const std::string &storeAddress, const std::vector<std::string> &seeds);
    ~Gateway();
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    void start();
    void kill();
    bool isRunning();
    // Asks /ready until it says so; false after the limit.
    bool awaitReady(int limitMs) const;
    std::string callers() const { return ip_ + ":8001"; }

private:
    std::string ip_;
    std::string settingsPath_;
    std::string logPath_;
    pid_t process_ = 0;
};

// The network of this run: 127.A.B, with addresses .1, .2 and so on.
std::string ownNet();

} // namespace review

#endif // MONSOONGRADE_REVIEW_STANDIN_PLATFORM_H
