#include "standinworker.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <map>
#include <utility>

namespace monsoongrade::standins {

namespace {

constexpr auto RestartTime = std::chrono::seconds(3);
constexpr auto RejectionSpan = std::chrono::seconds(1);

std::string valueOf(const httpio::Headers &headers, std::string_view name)
{
    const std::string *value = httpio::findHeader(headers, name);
    return value == nullptr ? std::string() : *value;
}

} // namespace

std::int64_t unixMilliseconds()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

// A request that runs or waits for a slot.
struct StandInWorker::Run
{
    WorkerRun record;
    Reply reply;
    httpio::Headers response;
    bool isStream = false;
    int firstEvent = 1;
    std::size_t index = 0; // among the runs of the worker, once it runs
};

StandInWorker::StandInWorker(asio::io_context &io, httpio::Timers &timers, StandInStore &store,
                             Settings settings)
    : io_(io)
    , timers_(timers)
    , store_(store)
    , settings_(std::move(settings))
    , firstId_(settings_.id)
    , born_(unixMilliseconds())
{
    servers_.push_back(listen(settings_.port));
}

std::unique_ptr<httpio::Server> StandInWorker::listen(std::uint16_t port)
{
    return std::make_unique<httpio::Server>(
        io_, timers_, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), port), limits_,
        [this](const httpio::ServerRequest &request, const Reply &reply) {
            handle(request, reply);
        });
}

std::string StandInWorker::address() const
{
    return "127.0.0.1:" + std::to_string(servers_.back()->address().port());
}

void StandInWorker::announce(const std::string &state)
{
    state_ = state;
    store_.put(
        "servers", settings_.id,
        {{"service", settings_.service},
         {"address", settings_.announcedAddress.empty() ? address() : settings_.announcedAddress},
         {"zone", settings_.zone},
         {"version", settings_.version},
         {"slots", settings_.slots},
         {"state", state_},
         {"cold_remaining_ms", 0},
         {"born", born_},
         {"sequence", ++sequence_}});
}

void StandInWorker::restart()
{
    born_ = std::max(born_ + 1, unixMilliseconds());
    isLeaving_ = false;
    limit_.reset();
    state_ = "ready";
}

void StandInWorker::startAs(const std::string &id, const std::string &version)
{
    settings_.version = version;
    if (isCrashed_)
        return; // starts later
    abortAll();
    if (id != settings_.id)
        removeEntry();
    settings_.id = id;
    restart();
    announce();
}

void StandInWorker::removeEntry()
{
    store_.remove("servers", settings_.id);
}

void StandInWorker::setSilent(bool isSilent)
{
    isSilent_ = isSilent;
    if (isSilent)
        return;
    for (const auto &goOn : std::exchange(held_, {}))
        goOn();
}

void StandInWorker::handle(const httpio::ServerRequest &request,
                           const std::shared_ptr<httpio::ResponseWriter> &reply)
{
    if (isCrashed_) {
        reply->abort();
        return;
    }
    if (isSilent_) {
        held_.emplace_back([this, request, reply] { handle(request, reply); });
        return;
    }
    const httpio::Headers &headers = request.head.headers;
    const std::string id = valueOf(headers, "Attempt-Id");
    const std::string expected = valueOf(headers, "Expect-Instance");
    httpio::Headers response{{"Attempt-Id", id}, {"Keep-Alive", "timeout=20"}};
    if (!expected.empty() && expected != settings_.id) {
        response.emplace_back("Instance-Id", settings_.id);
        reply->respond(421, response, "");
        return;
    }
    arrivals_.push_back({id, born_, timers_.now(), isLeaving_, pause_, limit_});
    if (isLeaving_)
        response.emplace_back("Server-Leaving", "1");
    if (limit_)
        response.emplace_back("Server-Limit", std::to_string(*limit_));
    if (maxRejections_)
        response.emplace_back("Server-Brittle", std::to_string(*maxRejections_));
    const bool hasSlot = int(running_.size()) < settings_.slots;
    const bool mayWait = int(waiting_.size()) < settings_.maxWaiting;
    if (isFull_ || pause_.count() > 0 || (!hasSlot && !mayWait)) {
        reject(reply, std::move(response));
        return;
    }
    response.emplace_back("Response-Signature", settings_.id + "." + id);
    const auto run = std::make_shared<Run>();
    run->record = {id,
                   valueOf(headers, "Tenant"),
                   request.head.target,
                   *request.body,
                   valueOf(headers, "Last-Event-Id"),
                   headers};
    run->reply = reply;
    run->response = std::move(response);
    run->isStream = httpio::findHeader(headers, "Prompt-Prefix") != nullptr;
    run->firstEvent = std::atoi(valueOf(headers, "Last-Event-Id").c_str()) + 1;
    reply->onClientDisconnected([this, weak = std::weak_ptr<Run>(run)] {
        ++clientsDisconnected_;
        if (const auto left = weak.lock())
            finish(left);
    });
    if (hasSlot)
        begin(run);
    else
        waiting_.push_back(run);
}

void StandInWorker::reject(const Reply &reply, httpio::Headers response)
{
    ++rejected_;
    response.emplace_back("Not-Executed", "1");
    if (pause_.count() > 0)
        response.emplace_back("Retry-After", std::to_string(double(pause_.count()) / 1000));
    reply->respond(503, response, "");
    if (pause_.count() == 0) {
        arrivals_.back().isRejectedForRoom = true;
        crashIfOverwhelmed();
    }
}

void StandInWorker::crashIfOverwhelmed()
{
    if (!maxRejections_)
        return;
    std::vector<std::string> rejectedIds;
    for (auto arrival = arrivals_.rbegin(); arrival != arrivals_.rend(); ++arrival) {
        if (arrival->born != born_ || timers_.now() - arrival->at > RejectionSpan)
            break;
        if (arrival->isRejectedForRoom)
            rejectedIds.push_back(arrival->requestId);
    }
    if (double(rejectedIds.size()) > *maxRejections_)
        crash(std::move(rejectedIds));
}

void StandInWorker::crash(std::vector<std::string> rejectedIds)
{
    crashes_.push_back({timers_.now(), std::move(rejectedIds)});
    isCrashed_ = true;
    const std::uint16_t port = servers_.back()->address().port();
    servers_.back()->stopAccepting();
    abortAll();
    timers_.after(RestartTime, [this, port] {
        isCrashed_ = false;
        removeEntry();
        settings_.id = firstId_ + "-" + std::to_string(crashes_.size());
        servers_.push_back(listen(port));
        restart();
        announce();
    });
}

void StandInWorker::abortAll()
{
    for (const std::shared_ptr<Run> &run : std::exchange(running_, {}))
        run->reply->abort();
    for (const std::shared_ptr<Run> &run : std::exchange(waiting_, {}))
        run->reply->abort();
}

void StandInWorker::begin(const std::shared_ptr<Run> &run)
{
    running_.insert(run);
    run->index = runs_.size();
    runs_.push_back(run->record);
    timers_.after(settings_.work, [this, run] { respond(run); });
}

void StandInWorker::respond(const std::shared_ptr<Run> &run)
{
    if (running_.count(run) == 0)
        return;
    if (isSilent_) {
        held_.emplace_back([this, run] { respond(run); });
        return;
    }
    if (run->isStream) {
        httpio::Headers headers = run->response;
        headers.emplace_back("Content-Type", "text/event-stream");
        run->reply->begin(200, headers);
        stream(run, run->firstEvent);
        return;
    }
    finish(run);
    run->reply->respond(200, run->response, "answer of " + settings_.id);
}

void StandInWorker::stream(const std::shared_ptr<Run> &run, int next)
{
    if (running_.count(run) == 0)
        return;
    if (isSilent_) {
        held_.emplace_back([this, run, next] { stream(run, next); });
        return;
    }
    const std::string number = std::to_string(next);
    run->reply->write("id: " + number + "\ndata: event " + number
                      + (settings_.eventsNameVersion ? " of " + settings_.version : "") + "\n\n");
    if (next >= settings_.events) {
        finish(run);
        run->reply->end();
        return;
    }
    timers_.after(settings_.eventGap, [this, run, next] { stream(run, next + 1); });
}

// The run has ended, or its client has left. Its slot goes to a request that waits.
void StandInWorker::finish(const std::shared_ptr<Run> &run)
{
    waiting_.erase(std::remove(waiting_.begin(), waiting_.end(), run), waiting_.end());
    if (running_.erase(run) == 0)
        return;
    runs_[run->index].endedAt = timers_.now();
    if (waiting_.empty())
        return;
    const std::shared_ptr<Run> next = waiting_.front();
    waiting_.pop_front();
    begin(next);
}

int mostRunsOfARequest(const std::vector<std::unique_ptr<StandInWorker>> &workers)
{
    std::map<std::string, int> runs;
    int most = 0;
    for (const auto &worker : workers) {
        for (const WorkerRun &run : worker->runs())
            most = std::max(most, ++runs[run.requestId]);
    }
    return most;
}

} // namespace monsoongrade::standins
