#ifndef MONSOONGRADE_TESTS_PLATFORM_STANDIN_STANDINWORKER_H
#define MONSOONGRADE_TESTS_PLATFORM_STANDIN_STANDINWORKER_H

#include "standinstore.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace monsoongrade::standins {

// The time as the entries of workers show it, in milliseconds since 1970.
std::int64_t unixMilliseconds();

// A request that a worker has run.
struct WorkerRun
{
    std::string requestId;
    std::string workspace;
    std::string target;
    std::string body;
    std::string lastEventId;
    httpio::Headers headers;
    std::optional<units::TimePoint> endedAt = {}; // none if it runs, or the worker ended first
};

// A request that reached a worker, run or not, and what the response announced about the worker.
struct WorkerArrival
{
    std::string requestId;
    std::int64_t born = 0; // of the worker's incarnation
    units::TimePoint at;
    bool announcedLeaving = false;
    std::chrono::milliseconds pause{}; // 0: none was asked for
    std::optional<double> limit; // requests a second
    bool isRejectedForRoom = false;
};

// A worker ended because it had to reject more requests in a second than it survives.
struct WorkerCrash
{
    units::TimePoint at;
    std::vector<std::string> rejectedIds; // in the second before
};

// A worker of the platform: registers itself in the store, responds to plain requests after a
// processing time and to stream requests with events, with the headers of the platform's workers.
class StandInWorker
{
public:
    struct Settings
    {
        std::string id;
        std::string service;
        std::string zone = "z1";
        int slots = 8;
        std::chrono::milliseconds work{5};
        int events = 4; // of a stream
        std::chrono::milliseconds eventGap{5};
        std::uint16_t port = 0;
        // IP:PORT to announce in place of its own, such as that of a proxy in front of it.
        std::string announcedAddress = {};
        int maxWaiting = 0; // requests that wait for a slot; more are rejected
        std::string version = "v1"; // of the worker's software
        bool eventsNameVersion = false; // each event of a stream holds the software version
    };

    StandInWorker(asio::io_context &io, httpio::Timers &timers, StandInStore &store,
                  Settings settings);

    // Writes the entry in the store with this state, or with its last one.
    void announce(const std::string &state);
    void announce() { announce(state_); }
    void removeEntry();
    // While full, requests are rejected as not run.
    void setFull(bool isFull) { isFull_ = isFull; }
    // Number of events of the streams that run from now on.
    void setEvents(int events) { settings_.events = events; }

    // While silent, the worker takes requests and sends nothing, neither of these nor of those that
    // run already; it goes on with all of them afterwards.
    void setSilent(bool isSilent);

    // From now on all responses announce that the worker is leaving; the store is not told.
    void announceLeavingInResponses() { isLeaving_ = true; }
    // Starts again under the same id, as a new incarnation that has announced nothing. The store is
    // told with the next announce().
    void restart();
    // Ends with its running requests cut off, and starts at once with this id and software version.
    // The entry of its earlier id is removed, and the new one is written.
    void startAs(const std::string &id, const std::string &version);
    // Rejects all requests and asks each client for a pause; 0 ends that.
    void askForPauses(std::chrono::milliseconds pause) { pause_ = pause; }
    // All responses announce this limit of requests a second, or none.
    void announceLimit(std::optional<double> perSecond) { limit_ = perSecond; }
    // All responses announce how many rejections for want of room a second the worker survives, or
    // none. If it has to reject more, it crashes, and is back later under another id.
    void announceMaxRejections(std::optional<double> perSecond) { maxRejections_ = perSecond; }
    void setMaxWaiting(int requests) { settings_.maxWaiting = requests; }

    const std::vector<WorkerRun> &runs() const { return runs_; }
    const std::vector<WorkerArrival> &arrivals() const { return arrivals_; }
    const std::vector<WorkerCrash> &crashes() const { return crashes_; }
    int rejected() const { return rejected_; }
    // Clients that disconnected before the end of their response.
    int clientsDisconnected() const { return clientsDisconnected_; }
    std::string address() const;
    const Settings &settings() const { return settings_; }

private:
    using Reply = std::shared_ptr<httpio::ResponseWriter>;
    struct Run;

    std::unique_ptr<httpio::Server> listen(std::uint16_t port);
    void handle(const httpio::ServerRequest &request, const Reply &reply);
    void reject(const Reply &reply, httpio::Headers response);
    void begin(const std::shared_ptr<Run> &run);
    void respond(const std::shared_ptr<Run> &run);
    void stream(const std::shared_ptr<Run> &run, int next);
    void finish(const std::shared_ptr<Run> &run);
    void crashIfOverwhelmed();
    void crash(std::vector<std::string> rejectedIds);
    void abortAll();

    asio::io_context &io_;
    httpio::Timers &timers_;
    StandInStore &store_;
    Settings settings_;
    std::string firstId_;
    httpio::ServerLimits limits_;
    std::vector<std::unique_ptr<httpio::Server>>
        servers_; // one for each start; the last one listens
    std::vector<WorkerRun> runs_;
    std::vector<WorkerArrival> arrivals_;
    bool isFull_ = false;
    bool isLeaving_ = false;
    bool isSilent_ = false;
    std::vector<std::function<void()>> held_; // what it does when it is no longer silent
    std::chrono::milliseconds pause_{};
    std::optional<double> limit_;
    std::optional<double> maxRejections_;
    std::vector<WorkerCrash> crashes_;
    bool isCrashed_ = false;
    std::int64_t born_ = 0; // Unix time of the start, in milliseconds
    std::set<std::shared_ptr<Run>> running_;
    std::deque<std::shared_ptr<Run>> waiting_; // for a slot
    int rejected_ = 0;
    int clientsDisconnected_ = 0;
    int sequence_ = 0;
    std::string state_ = "ready";
};

// The largest number of times that the workers together ran the same request.
int mostRunsOfARequest(const std::vector<std::unique_ptr<StandInWorker>> &workers);

} // namespace monsoongrade::standins

#endif // MONSOONGRADE_TESTS_PLATFORM_STANDIN_STANDINWORKER_H
