#include <monsoongrade/standins/fakeplatform.h>

#include <monsoongrade/http/query.h>
#include <monsoongrade/timing/threaddelayer.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <list>
#include <map>
#include <mutex>

namespace monsoongrade::standins {

namespace {

using nlohmann::json;
using Clock = std::chrono::steady_clock;
using Responder = std::shared_ptr<http::HttpResponder>;

const http::Headers JsonHeaders{{"Content-Type", "application/json"}};
const std::string ObjectsPath = "/v1/objects/";
const std::string WatchPath = "/v1/watch/";
constexpr std::size_t MaxValueBytes = 1024 * 1024;

struct Object
{
    std::uint64_t version = 0;
    std::string value;
    // What stale reads answer.
    std::uint64_t previousVersion = 0;
    std::string previousValue;
};

struct CallCount
{
    std::uint64_t total = 0;
    std::uint64_t peakPerSecond = 0;
    std::int64_t second = 0;
    std::uint64_t inSecond = 0;

    void add()
    {
        const std::int64_t now
            = std::chrono::duration_cast<std::chrono::seconds>(Clock::now().time_since_epoch())
                  .count();
        if (now != second)
            inSecond = 0;
        second = now;
        ++total;
        peakPerSecond = std::max(peakPerSecond, ++inSecond);
    }
};

struct Watch
{
    std::string name;
    std::uint64_t above = 0;
    Responder responder;
    std::uint64_t id = 0;
};

struct HostListVersion
{
    Clock::time_point since;
    json hosts;
};

struct Answer
{
    int status = 200;
    std::string body = "{}";
};

Answer error(int status, const std::string &message)
{
    return {status, json{{"error", message}}.dump()};
}

json toJson(const std::string &name, const Object &object)
{
    return {{"name", name}, {"version", object.version}, {"value", object.value}};
}

bool startsWith(const std::string &text, const std::string &start)
{
    return text.compare(0, start.size(), start) == 0;
}

} // namespace

class FakePlatform::Impl
{
public:
    void handle(const http::HttpRequest &request, Responder responder)
    {
        if (startsWith(request.path, "/admin/")) {
            send(responder, admin(request), std::chrono::milliseconds(0));
            return;
        }
        std::unique_lock lock(mutex_);
        calls_[kindOf(request)].add();
        const auto delay = std::chrono::milliseconds(delayMs_);
        if (outage_) {
            send(responder, error(503, "outage"), delay);
            return;
        }
        if (startsWith(request.path, WatchPath)) {
            watch(request, std::move(responder));
            return;
        }
        const Answer answer = call(request);
        if (loseReplies_ > 0 && request.method != "GET") {
            // The effect stays; only the caller doesn't learn of it.
            --loseReplies_;
            timers_.after(delay, [responder] { responder->abort(); });
            return;
        }
        send(responder, answer, delay);
    }

private:
    static std::string kindOf(const http::HttpRequest &request)
    {
        if (startsWith(request.path, WatchPath))
            return "watch";
        if (request.path == "/v1/list" || request.path == "/v1/hosts")
            return "read";
        return request.method == "GET" ? "read" : "write";
    }

    void send(const Responder &responder, const Answer &answer, std::chrono::milliseconds delay)
    {
        if (delay.count() == 0) {
            responder->answer(answer.status, JsonHeaders, answer.body);
            return;
        }
        timers_.after(delay, [responder, answer] {
            responder->answer(answer.status, JsonHeaders, answer.body);
        });
    }

    Answer call(const http::HttpRequest &request)
    {
        if (request.path == "/v1/hosts")
            return {200, json{{"hosts", visibleHosts()}}.dump()};
        if (request.path == "/v1/list")
            return listObjects(http::queryValue(request.query, "prefix"));
        if (!startsWith(request.path, ObjectsPath))
            return error(404, "no such path");
        const std::string name = request.path.substr(ObjectsPath.size());
        if (request.method == "PUT")
            return put(name, request);
        const auto found = objects_.find(name);
        if (found == objects_.end())
            return error(404, "no such object");
        if (request.method == "DELETE") {
            const std::string version = request.header("if-match");
            if (!version.empty() && std::to_string(found->second.version) != version)
                return error(412, "has another version");
            objects_.erase(found);
            return {};
        }
        const Object &object = found->second;
        if (staleReads_ > 0 && object.previousVersion > 0) {
            --staleReads_;
            return {200,
                    toJson(name, {object.previousVersion, object.previousValue, 0, {}}).dump()};
        }
        return {200, toJson(name, object).dump()};
    }

    Answer put(const std::string &name, const http::HttpRequest &request)
    {
        if (request.body.size() > MaxValueBytes)
            return error(413, "a value holds up to a megabyte");
        const auto found = objects_.find(name);
        const bool exists = found != objects_.end();
        if (request.header("if-none-match") == "*" && exists)
            return error(409, "exists already");
        const std::string version = request.header("if-match");
        if (!version.empty() && (!exists || std::to_string(found->second.version) != version))
            return error(412, "has another version");
        Object &object = objects_[name];
        object.previousVersion = object.version;
        object.previousValue = std::move(object.value);
        object.version = ++lastVersion_;
        object.value = request.body;
        wakeWatches(name, object);
        return {200, json{{"version", object.version}}.dump()};
    }

    Answer listObjects(const std::string &prefix)
    {
        json objects = json::array();
        for (auto entry = objects_.lower_bound(prefix);
             entry != objects_.end() && startsWith(entry->first, prefix); ++entry)
            objects.push_back(toJson(entry->first, entry->second));
        return {200, json{{"objects", objects}}.dump()};
    }

    void watch(const http::HttpRequest &request, Responder responder)
    {
        const std::string name = request.path.substr(WatchPath.size());
        const std::uint64_t above = http::queryNumber(request.query, "above");
        const auto found = objects_.find(name);
        if (found != objects_.end() && found->second.version > above) {
            send(responder, {200, toJson(name, found->second).dump()},
                 std::chrono::milliseconds(delayMs_));
            return;
        }
        const std::uint64_t id = ++lastWatch_;
        watches_.push_back({name, above, std::move(responder), id});
        timers_.after(std::chrono::milliseconds(http::queryNumber(request.query, "wait_ms")),
                      [this, id] { expireWatch(id); });
    }

    void wakeWatches(const std::string &name, const Object &object)
    {
        for (auto watch = watches_.begin(); watch != watches_.end();) {
            if (watch->name != name || object.version <= watch->above) {
                ++watch;
                continue;
            }
            send(watch->responder, {200, toJson(name, object).dump()},
                 std::chrono::milliseconds(delayMs_));
            watch = watches_.erase(watch);
        }
    }

    void expireWatch(std::uint64_t id)
    {
        const std::lock_guard lock(mutex_);
        for (auto watch = watches_.begin(); watch != watches_.end(); ++watch) {
            if (watch->id != id)
                continue;
            const auto found = objects_.find(watch->name);
            const Object object = found == objects_.end() ? Object() : found->second;
            send(watch->responder, {200, toJson(watch->name, object).dump()},
                 std::chrono::milliseconds(delayMs_));
            watches_.erase(watch);
            return;
        }
    }

    json visibleHosts()
    {
        const auto now = Clock::now();
        json visible = json::array();
        for (const HostListVersion &version : hostLists_) {
            if (version.since + std::chrono::milliseconds(listLagMs_) <= now
                || &version == &hostLists_.front())
                visible = version.hosts;
        }
        return visible;
    }

    std::string callReport() const
    {
        json report = json::object();
        for (const auto &[kind, count] : calls_) {
            report[kind] = count.total;
            report["peak_per_second"][kind] = count.peakPerSecond;
        }
        return report.dump();
    }

    Answer admin(const http::HttpRequest &request)
    {
        const std::lock_guard lock(mutex_);
        if (request.path == "/admin/calls")
            return {200, callReport()};
        const json body = json::parse(request.body, nullptr, false);
        if (!body.is_object())
            return error(400, "expected a JSON object");
        if (request.path == "/admin/hosts") {
            hostLists_.push_back({Clock::now(), body.value("hosts", json::array())});
            return {};
        }
        if (request.path != "/admin/switches")
            return error(404, "no such path");
        try {
            outage_ = body.value("outage", outage_);
            delayMs_ = body.value("delay_ms", delayMs_);
            loseReplies_ = body.value("lose_replies", loseReplies_);
            listLagMs_ = body.value("list_lag_ms", listLagMs_);
            staleReads_ = body.value("stale_reads", staleReads_);
        } catch (const json::exception &problem) {
            return error(400, problem.what());
        }
        if (outage_)
            dropWatches();
        return {};
    }

    void dropWatches()
    {
        for (const Watch &watch : watches_)
            watch.responder->answer(503, JsonHeaders, "{}");
        watches_.clear();
    }

    std::mutex mutex_;
    std::map<std::string, Object> objects_;
    std::list<Watch> watches_;
    std::list<HostListVersion> hostLists_;
    std::map<std::string, CallCount> calls_;
    std::uint64_t lastVersion_ = 0;
    std::uint64_t lastWatch_ = 0;
    bool outage_ = false;
    int delayMs_ = 0;
    int loseReplies_ = 0;
    int listLagMs_ = 0;
    int staleReads_ = 0;
    timing::ThreadDelayer timers_;
};

FakePlatform::FakePlatform()
    : impl_(std::make_unique<Impl>())
{
}

FakePlatform::~FakePlatform() = default;

void FakePlatform::handle(const http::HttpRequest &request,
                          std::shared_ptr<http::HttpResponder> responder)
{
    impl_->handle(request, std::move(responder));
}

} // namespace monsoongrade::standins
