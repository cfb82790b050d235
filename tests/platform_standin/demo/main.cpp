#include "../standinduties.h"
#include "../standinstore.h"
#include "../standinworker.h"

#include <monsoongrade/httpio/channel.h>
#include <monsoongrade/httpio/messagewriter.h>
#include <monsoongrade/httpio/socketoptions.h>
#include <monsoongrade/units/bootclock.h>

#include <CLI/CLI.hpp>

#include <algorithm>
#include <cstdio>
#include <map>

// Simulates the users' platform for a demonstration: its store, its API for usage reports, six
// workers, and clients that query the directory, send a burst of requests and check every
// response. Exits with 1 if a response was incomplete or the usage reports miss requests.

namespace {

using namespace monsoongrade;
using nlohmann::json;

constexpr auto CallTimeout = std::chrono::seconds(10);
// Limit for all requests to be included in the usage reports.
constexpr auto ReportTimeout = std::chrono::seconds(20);
constexpr auto ReportCheckInterval = std::chrono::milliseconds(200);

// Number of requests of all workspaces in the accepted reports.
std::int64_t reportedRequests(const standins::StandInDuties &duties)
{
    std::int64_t sum = 0;
    for (const auto &[window, counts] : duties.reports()) {
        for (const auto &[workspace, count] : counts.items())
            sum += count.get<std::int64_t>();
    }
    return sum;
}

json route(const std::string &prefix, const std::string &kind, const std::string &service, int tier,
           bool resumable)
{
    return {{"name", "r" + prefix}, {"host", "demo.example"}, {"path_prefix", prefix},
            {"kind", kind},         {"timeout_ms", 8000},     {"target_latency_ms", 500},
            {"priority", tier},     {"service", service},     {"max_attempts", 2},
            {"public", false},      {"resumable", resumable}, {"gap_aim_ms", 300}};
}

json configuration()
{
    return {{"version", 1},
            {"routes",
             {route("/summary/", "streaming", "model", 0, true),
              route("/report/", "streaming", "model", 2, false),
              route("/status/", "safe", "plain", 1, false),
              route("/book/", "unsafe", "plain", 1, false)}},
            {"services",
             {{{"name", "plain"}, {"max_connections", 100}},
              {{"name", "model"}, {"max_connections", 100}, {"engine", {{"slots", 32}}}}}},
            {"tenants", {{{"name", "club"}, {"api_keys", {"demo-key"}}}}}};
}

struct ClassResult
{
    int sent = 0;
    int complete = 0;
    int refused = 0;
    int failed = 0;
    std::vector<double> milliseconds;
};

// One GET or POST on a new connection.
class Call : public std::enable_shared_from_this<Call>, private httpio::ChannelListener
{
public:
    using Done = std::function<void(int status, const std::string &body)>;

    Call(asio::io_context &io, httpio::Timers &timers, const std::string &address,
         std::string request, Done done)
        : timers_(timers)
        , channel_(std::make_shared<httpio::Channel>(io, *httpio::parseAddress(address)))
        , request_(std::move(request))
        , done_(std::move(done))
    {
    }

    void start()
    {
        timeout_ = timers_.after(CallTimeout, [self = shared_from_this()] { self->end(0); });
        channel_->connect([self = shared_from_this()](bool connected) {
            if (connected)
                self->channel_->send(self->request_, std::make_shared<const std::string>(), *self);
            else
                self->end(0);
        });
    }

private:
    void onResponseHead(const httpio::MessageHead &head) override { status_ = head.status; }
    void onResponseBody(std::string_view bytes) override { body_.append(bytes); }
    void onResponseEnd() override { end(status_); }
    void onChannelFailure(httpio::ChannelFailure) override { end(0); }

    void end(int status)
    {
        if (!done_)
            return;
        // The timer's handler is the last owner of this call while it waits for its response.
        const auto self = shared_from_this();
        const Done done = std::move(done_);
        done_ = nullptr;
        timers_.cancel(timeout_);
        channel_->close();
        done(status, body_);
    }

    httpio::Timers &timers_;
    httpio::Timers::Handle timeout_;
    std::shared_ptr<httpio::Channel> channel_;
    std::string request_;
    Done done_;
    int status_ = 0;
    std::string body_;
};

class Clients
{
public:
    Clients(asio::io_context &io, httpio::Timers &timers, std::string directory, int requests)
        : io_(io)
        , timers_(timers)
        , directory_(std::move(directory))
        , requests_(requests)
    {
    }

    // Queries the directory until it returns three hosts, then sends the burst.
    void start()
    {
        get(directory_, "/resolve?name=demo.example", [this](int status, const std::string &body) {
            const json response = json::parse(body, nullptr, false);
            if (status == 200 && response.is_object() && response["addresses"].size() >= 3)
                sendBurst(response["addresses"].get<std::vector<std::string>>());
            else
                timers_.after(std::chrono::milliseconds(200), [this] { start(); });
        });
    }

    void onDone(std::function<void()> handler) { onDone_ = std::move(handler); }
    int complete() const
    {
        int sum = 0;
        for (const auto &[name, result] : results_)
            sum += result.complete;
        return sum;
    }

    int report() const
    {
        int incomplete = 0;
        std::printf("%-10s %6s %6s %8s %7s %9s %9s\n", "class", "sent", "whole", "refused",
                    "failed", "p50 ms", "p99 ms");
        for (const auto &[name, result] : results_) {
            std::vector<double> times = result.milliseconds;
            std::sort(times.begin(), times.end());
            const auto at = [&](double share) {
                return times.empty() ? 0 : times[std::size_t(share * double(times.size() - 1))];
            };
            std::printf("%-10s %6d %6d %8d %7d %9.1f %9.1f\n", name.c_str(), result.sent,
                        result.complete, result.refused, result.failed, at(0.5), at(0.99));
            incomplete += result.failed;
        }
        return incomplete == 0 ? 0 : 1;
    }

private:
    void get(const std::string &address, const std::string &target, Call::Done done)
    {
        std::make_shared<Call>(io_, timers_, address,
                               httpio::encodeRequestHead("GET", target, {{"Host", "d"}}, 0),
                               std::move(done))
            ->start();
    }

    void sendBurst(const std::vector<std::string> &hosts)
    {
        const std::vector<std::string> classes{"summary", "report", "status", "book"};
        for (int i = 0; i < requests_; ++i) {
            timers_.after(std::chrono::milliseconds(i / 2), [this, i, hosts, classes] {
                send(hosts[std::size_t(i) % hosts.size()], classes[std::size_t(i) % classes.size()],
                     i);
            });
        }
    }

    void send(const std::string &host, const std::string &name, int number)
    {
        const bool isStream = name == "summary" || name == "report";
        httpio::Headers headers{{"Host", "demo.example"},
                                {"Attempt-Id", "demo" + std::to_string(number)},
                                {"Deadline-Ms", "8000"},
                                {"Authorization", "Bearer demo-key"}};
        if (isStream) {
            headers.emplace_back("Token-Counts", "100,20");
            headers.emplace_back("Prompt-Prefix", "s" + std::to_string(number % 7) + ":80,own:20");
        }
        ++results_[name].sent;
        const units::TimePoint begin = timers_.now();
        std::make_shared<Call>(
            io_, timers_, host, httpio::encodeRequestHead("POST", "/" + name + "/x", headers, 0),
            [this, name, isStream, begin](int status, const std::string &body) {
                ClassResult &result = results_[name];
                const bool isComplete = isStream
                    ? body.find("data: event 8\n\n") != std::string::npos
                    : body.find("answer of") == 0;
                if (status == 200 && isComplete)
                    ++result.complete;
                else if (status == 503)
                    ++result.refused;
                else
                    ++result.failed;
                result.milliseconds.push_back(
                    std::chrono::duration<double, std::milli>(timers_.now() - begin).count());
                if (++finished_ == requests_ && onDone_)
                    onDone_();
            })
            ->start();
    }

    asio::io_context &io_;
    httpio::Timers &timers_;
    std::string directory_;
    int requests_;
    int finished_ = 0;
    std::function<void()> onDone_;
    std::map<std::string, ClassResult> results_;
};

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Simulates the users' platform and sends a burst through the gateways.",
                 "platform-demo");
    std::uint16_t storePort = 0;
    std::uint16_t dutiesPort = 0;
    std::string directory;
    int requests = 400;
    app.add_option("--store-port", storePort, "port of the store")->required();
    app.add_option("--duties-port", dutiesPort, "port of the platform's API")->required();
    app.add_option("--directory", directory, "IP:PORT of a gateway's directory")->required();
    app.add_option("--requests", requests, "requests of the burst");
    CLI11_PARSE(app, argc, argv);

    const units::BootClock clock;
    asio::io_context io;
    httpio::Timers timers(io, clock);
    standins::StandInStore store(io, timers, storePort);
    standins::StandInDuties duties(io, timers, dutiesPort);
    store.put("config", "main", configuration());
    std::vector<std::unique_ptr<standins::StandInWorker>> workers;
    for (int i = 0; i < 6; ++i) {
        standins::StandInWorker::Settings settings;
        settings.id = "worker-" + std::to_string(i);
        settings.service = i < 4 ? "model" : "plain";
        settings.zone = "z" + std::to_string(i % 3);
        settings.slots = 32;
        settings.events = 8;
        settings.work = std::chrono::milliseconds(20);
        workers.push_back(std::make_unique<standins::StandInWorker>(io, timers, store, settings));
        workers.back()->announce("ready");
    }
    Clients clients(io, timers, directory, requests);
    // The last windows are reported shortly after the last request.
    units::TimePoint reportDeadline;
    std::function<void()> awaitReports = [&] {
        const bool isFinished = reportedRequests(duties) >= clients.complete();
        if (isFinished || timers.now() >= reportDeadline)
            io.stop();
        else
            timers.after(ReportCheckInterval, awaitReports);
    };
    clients.onDone([&] {
        reportDeadline = timers.now() + ReportTimeout;
        awaitReports();
    });
    clients.start();
    io.run();
    const int status = clients.report();
    std::printf("%zu usage reports accepted, %lld requests in them, %zu faults\n",
                duties.reports().size(), static_cast<long long>(reportedRequests(duties)),
                duties.faults().size());
    const bool allReported
        = duties.faults().empty() && reportedRequests(duties) >= clients.complete();
    return allReported ? status : 1;
}
