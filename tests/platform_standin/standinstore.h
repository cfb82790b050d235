#ifndef MONSOONGRADE_TESTS_PLATFORM_STANDIN_STANDINSTORE_H
#define MONSOONGRADE_TESTS_PLATFORM_STANDIN_STANDINSTORE_H

#include <monsoongrade/httpio/server.h>

#include <nlohmann/json.hpp>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace monsoongrade::standins {

// How the stand-in store treats calls.
enum class StoreBehavior {
    Normal,
    Silent, // takes calls and never answers
    Refusing, // answers 503
    DroppingResponses, // does what it is asked and closes the connection without an answer
};

// The platform's object store as its pages describe it, in memory: objects by kind and name, one
// revision counter, lists, watches with a bounded history, conditional writes.
class StandInStore
{
public:
    // Listens on 127.0.0.1; port 0 takes a free one.
    StandInStore(asio::io_context &io, httpio::Timers &timers, std::uint16_t port);

    const asio::ip::tcp::endpoint &address() const { return entrances_.front()->server->address(); }
    // One more address of the same store, which may treat its callers differently.
    asio::ip::tcp::endpoint addAddress();
    // How calls at all addresses are treated, or at one of them.
    void setBehavior(StoreBehavior mood);
    void setBehavior(StoreBehavior mood, const asio::ip::tcp::endpoint &address);
    // From now on lists that may be stale show what the store holds now.
    void keepForStaleLists();
    // Drops the history and answers waiting watches with 410.
    void compact();

    // What operator and endpoints do.
    void put(const std::string &kind, const std::string &name, const nlohmann::json &spec);
    void remove(const std::string &kind, const std::string &name);
    // Puts an event about an older state of an object at the end of the history.
    void repeatOldEvent(const std::string &kind, const std::string &name,
                        const nlohmann::json &oldSpec, std::uint64_t oldRevision);

    std::uint64_t revision() const { return revision_; }
    // Calls but for lists that may be stale.
    int calls() const { return calls_; }
    int staleLists() const { return staleLists_; }
    int lists() const { return lists_; }

private:
    struct Entrance
    {
        std::unique_ptr<httpio::Server> server;
        StoreBehavior mood = StoreBehavior::Normal;
    };
    struct Event
    {
        std::uint64_t revision = 0;
        std::string kind;
        nlohmann::json object;
        bool deleted = false;
    };
    struct Watch
    {
        std::string kind;
        std::uint64_t from = 0;
        std::shared_ptr<httpio::ResponseWriter> reply;
        const Entrance *entrance = nullptr;
        bool isOver = false;
    };

    using Objects = std::map<std::string, std::map<std::string, nlohmann::json>>;

    void open(std::uint16_t port);
    void handle(const Entrance &entrance, const httpio::ServerRequest &request,
                const std::shared_ptr<httpio::ResponseWriter> &reply);
    void serve(const Entrance &entrance, const httpio::ServerRequest &request,
               const std::shared_ptr<httpio::ResponseWriter> &reply);
    static void list(const Objects &objects, std::uint64_t asOf, const std::string &kind,
                     const std::string &after, httpio::ResponseWriter &reply);
    void watch(const Entrance &entrance, const std::string &kind, std::uint64_t from,
               std::chrono::milliseconds wait,
               const std::shared_ptr<httpio::ResponseWriter> &reply);
    void write(const std::string &method, const std::string &kind, const std::string &name,
               const std::string &body, httpio::ResponseWriter &reply);
    void record(const std::string &kind, const nlohmann::json &object, bool deleted);
    std::vector<Event> eventsSince(const std::string &kind, std::uint64_t from) const;
    void answerWatches();

    asio::io_context &io_;
    httpio::Timers &timers_;
    httpio::ServerLimits limits_;
    std::vector<std::unique_ptr<Entrance>> entrances_;
    Objects objects_;
    std::optional<Objects> staleObjects_;
    std::uint64_t staleRevision_ = 0;
    std::deque<Event> history_;
    std::uint64_t revision_ = 1;
    std::uint64_t historyBegins_ = 1;
    std::vector<std::shared_ptr<Watch>> watches_;
    std::vector<std::shared_ptr<httpio::ResponseWriter>> unanswered_;
    int calls_ = 0;
    int lists_ = 0;
    int staleLists_ = 0;
};

} // namespace monsoongrade::standins

#endif // MONSOONGRADE_TESTS_PLATFORM_STANDIN_STANDINSTORE_H
