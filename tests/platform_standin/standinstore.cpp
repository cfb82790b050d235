#include "standinstore.h"

#include <monsoongrade/http/query.h>

#include <algorithm>

namespace monsoongrade::standins {

namespace {

using nlohmann::json;

const httpio::Headers JsonHeaders{{"Content-Type", "application/json"}};
constexpr std::size_t PageSize = 500;
// Stands for the bytes of a raw spec until the text of a response is made.
constexpr const char *RawMark = "\"raw spec ";

std::string rawMark(std::size_t number)
{
    return "raw spec " + std::to_string(number);
}

json withMetadata(const std::string &name, std::uint64_t revision, const json &spec)
{
    return {{"metadata",
             {{"name", name},
              {"revision", revision},
              {"created_at", 1},
              {"finalizers", json::array()},
              {"deleting", false}}},
            {"spec", spec},
            {"status", nullptr}};
}

// Splits "/objects/KIND/NAME"; the name may be missing.
std::pair<std::string, std::string> kindAndName(const std::string &path)
{
    const std::string prefix = "/objects/";
    if (path.compare(0, prefix.size(), prefix) != 0)
        return {};
    const std::string rest = path.substr(prefix.size());
    const std::size_t slash = rest.find('/');
    return {rest.substr(0, slash), slash == std::string::npos ? "" : rest.substr(slash + 1)};
}

} // namespace

StandInStore::StandInStore(asio::io_context &io, httpio::Timers &timers, std::uint16_t port)
    : io_(io)
    , timers_(timers)
{
    open(port);
}

void StandInStore::open(std::uint16_t port)
{
    listeners_.push_back(std::make_unique<Listener>());
    Listener &listener = *listeners_.back();
    const asio::ip::tcp::endpoint address(asio::ip::address_v4::loopback(), port);
    listener.server = std::make_unique<httpio::Server>(
        io_, timers_, address, limits_,
        [this, &listener](const httpio::ServerRequest &request,
                          const std::shared_ptr<httpio::ResponseWriter> &reply) {
            handle(listener, request, reply);
        });
}

asio::ip::tcp::endpoint StandInStore::addAddress()
{
    open(0);
    return listeners_.back()->server->address();
}

void StandInStore::setBehavior(StoreBehavior behavior)
{
    for (const auto &listener : listeners_)
        listener->behavior = behavior;
}

void StandInStore::setBehavior(StoreBehavior behavior, const asio::ip::tcp::endpoint &address)
{
    for (const auto &listener : listeners_) {
        if (listener->server->address() == address)
            listener->behavior = behavior;
    }
}

void StandInStore::freezeStaleLists()
{
    staleObjects_ = objects_;
    staleRevision_ = revision_;
}

void StandInStore::compact()
{
    history_.clear();
    historyBegins_ = ++revision_;
    for (const auto &watch : watches_) {
        watch->isFinished = true;
        watch->reply->respond(410, JsonHeaders, "{}");
    }
    watches_.clear();
}

void StandInStore::put(const std::string &kind, const std::string &name, const json &spec)
{
    const auto found = objects_[kind].find(name);
    if (found != objects_[kind].end() && found->second["spec"] == spec)
        return;
    json object = withMetadata(name, ++revision_, spec);
    objects_[kind][name] = object;
    record(kind, object, false);
}

void StandInStore::putRaw(const std::string &kind, const std::string &name, const std::string &spec)
{
    rawSpecs_.push_back(spec);
    put(kind, name, rawMark(rawSpecs_.size() - 1));
}

void StandInStore::overrideBody(const std::string &kind, const std::string &body)
{
    bodies_[kind] = body;
}

std::string StandInStore::textOf(const json &body) const
{
    std::string text = body.dump();
    if (rawSpecs_.empty())
        return text;
    std::string whole;
    std::size_t at = 0;
    for (std::size_t mark = text.find(RawMark); mark != std::string::npos;
         mark = text.find(RawMark, at)) {
        whole.append(text, at, mark - at);
        const std::size_t number = mark + std::string(RawMark).size();
        whole += rawSpecs_.at(std::stoul(text.substr(number)));
        at = text.find('"', number) + 1;
    }
    return whole.append(text, at, std::string::npos);
}

void StandInStore::remove(const std::string &kind, const std::string &name)
{
    const auto found = objects_[kind].find(name);
    if (found == objects_[kind].end())
        return;
    json object = found->second;
    object["metadata"]["revision"] = ++revision_;
    objects_[kind].erase(found);
    record(kind, object, true);
}

void StandInStore::repeatOldEvent(const std::string &kind, const std::string &name,
                                  const json &oldSpec, std::uint64_t oldRevision)
{
    ++revision_;
    record(kind, withMetadata(name, oldRevision, oldSpec), false);
}

void StandInStore::record(const std::string &kind, const json &object, bool deleted)
{
    history_.push_back({revision_, kind, object, deleted});
    respondToWatches();
}

void StandInStore::handle(const Listener &listener, const httpio::ServerRequest &request,
                          const std::shared_ptr<httpio::ResponseWriter> &reply)
{
    const bool mayBeStale = request.head.target.find("allow_stale=1") != std::string::npos;
    ++(mayBeStale ? staleLists_ : calls_);
    switch (listener.behavior) {
    case StoreBehavior::Silent:
        heldReplies_.push_back(reply);
        return;
    case StoreBehavior::Refusing:
        reply->respond(503, {}, "");
        return;
    case StoreBehavior::DroppingResponses:
        reply->abort();
        return;
    case StoreBehavior::Normal:
        serve(listener, request, reply);
        return;
    }
}

void StandInStore::serve(const Listener &listener, const httpio::ServerRequest &request,
                         const std::shared_ptr<httpio::ResponseWriter> &reply)
{
    const std::string &target = request.head.target;
    const std::size_t queryStart = target.find('?');
    const std::string query = queryStart == std::string::npos ? "" : target.substr(queryStart + 1);
    const auto [kind, name] = kindAndName(target.substr(0, queryStart));
    const auto body = bodies_.find(kind);
    const bool isWatch = !http::queryValue(query, "watch").empty();
    if (kind.empty()) {
        reply->respond(404, {}, "");
    } else if (body != bodies_.end() && !body->second.empty() && !isWatch
               && request.head.method == "GET") {
        reply->respond(200, JsonHeaders, body->second);
    } else if (request.head.method != "GET") {
        write(request.head.method, kind, name, *request.body, *reply);
    } else if (!name.empty()) {
        const auto found = objects_[kind].find(name);
        if (found == objects_[kind].end())
            reply->respond(404, JsonHeaders, "{}");
        else
            reply->respond(200, JsonHeaders, textOf(found->second));
    } else if (isWatch) {
        watch(listener, kind, http::queryNumber(query, "watch"),
              std::chrono::milliseconds(http::queryNumber(query, "wait_ms")), reply);
    } else if (http::queryNumber(query, "allow_stale") != 0 && staleObjects_) {
        list(*staleObjects_, staleRevision_, kind, http::queryValue(query, "after"), *reply);
    } else {
        ++lists_;
        list(objects_, revision_, kind, http::queryValue(query, "after"), *reply);
    }
}

void StandInStore::list(const Objects &all, std::uint64_t asOf, const std::string &kind,
                        const std::string &after, httpio::ResponseWriter &reply) const
{
    json response{{"items", json::array()}, {"more", false}, {"as_of", asOf}};
    const auto ofKind = all.find(kind);
    const std::map<std::string, json> none;
    const std::map<std::string, json> &objects = ofKind == all.end() ? none : ofKind->second;
    for (auto it = objects.upper_bound(after); it != objects.end(); ++it) {
        if (response["items"].size() == PageSize) {
            response["more"] = true;
            break;
        }
        response["items"].push_back(it->second);
    }
    reply.respond(200, JsonHeaders, textOf(response));
}

void StandInStore::watch(const Listener &listener, const std::string &kind, std::uint64_t from,
                         std::chrono::milliseconds wait,
                         const std::shared_ptr<httpio::ResponseWriter> &reply)
{
    if (from < historyBegins_ && historyBegins_ > 1) {
        reply->respond(410, JsonHeaders, "{}");
        return;
    }
    auto waiting = std::make_shared<Watch>(Watch{kind, from, reply, &listener, false});
    watches_.push_back(waiting);
    timers_.after(wait, [this, waiting] {
        if (waiting->isFinished)
            return;
        waiting->isFinished = true;
        if (waiting->listener->behavior != StoreBehavior::Normal)
            return; // never responds
        watches_.erase(std::remove(watches_.begin(), watches_.end(), waiting), watches_.end());
        waiting->reply->respond(200, JsonHeaders,
                                json{{"events", json::array()}, {"as_of", revision_}}.dump());
    });
    respondToWatches();
}

std::vector<StandInStore::Event> StandInStore::eventsSince(const std::string &kind,
                                                           std::uint64_t from) const
{
    std::vector<Event> events;
    for (const Event &event : history_) {
        if (event.kind == kind && event.revision > from)
            events.push_back(event);
    }
    return events;
}

void StandInStore::respondToWatches()
{
    const std::vector<std::shared_ptr<Watch>> all = watches_;
    for (const auto &watch : all) {
        const std::vector<Event> events = eventsSince(watch->kind, watch->from);
        if (events.empty() || watch->listener->behavior != StoreBehavior::Normal)
            continue;
        json response{{"events", json::array()}, {"as_of", revision_}};
        for (const Event &event : events)
            response["events"].push_back({{"object", event.object}, {"deleted", event.deleted}});
        watch->isFinished = true;
        watches_.erase(std::remove(watches_.begin(), watches_.end(), watch), watches_.end());
        watch->reply->respond(200, JsonHeaders, textOf(response));
    }
}

void StandInStore::write(const std::string &method, const std::string &kind,
                         const std::string &name, const std::string &body,
                         httpio::ResponseWriter &reply)
{
    if (method == "DELETE") {
        remove(kind, name);
        reply.respond(200, JsonHeaders, "{}");
        return;
    }
    const json object = json::parse(body, nullptr, false);
    if (!object.is_object() || !object.contains("metadata")) {
        reply.respond(400, JsonHeaders, "{}");
        return;
    }
    const std::string target = method == "POST" ? object["metadata"].value("name", "") : name;
    const auto found = objects_[kind].find(target);
    const bool exists = found != objects_[kind].end();
    const std::uint64_t expected = object["metadata"].value("revision", std::uint64_t(0));
    const bool conflicts = (method == "POST" && exists)
        || (method == "PUT" && exists && expected != 0
            && expected != found->second["metadata"]["revision"].get<std::uint64_t>());
    if (conflicts) {
        reply.respond(409, JsonHeaders, textOf(found->second));
        return;
    }
    put(kind, target, object.value("spec", json()));
    reply.respond(200, JsonHeaders, textOf(objects_[kind][target]));
}

} // namespace monsoongrade::standins
