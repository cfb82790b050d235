#ifndef MONSOONGRADE_TESTS_PLATFORM_STANDIN_STANDINSTORE_H
#define MONSOONGRADE_TESTS_PLATFORM_STANDIN_STANDINSTORE_H

#include <monsoongrade/httpio/server.h>

#include <nlohmann/json.hpp>

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace monsoongrade::standins {

// How the stand-in store treats calls.
enum class StoreMood {
    Normal,
    Silent, // takes calls and never answers
    Refusing, // answers 503
    LosingAnswers, // does what it is asked and closes the connection without an answer
};

// The platform's object store as its pages describe it, in memory: objects by kind and name, one
// revision counter, lists, watches with a bounded history, conditional writes.
class StandInStore
{
public:
    // Listens on 127.0.0.1; port 0 takes a free one.
    StandInStore(asio::io_context &io, httpio::Timers &timers, std::uint16_t port);

    const asio::ip::tcp::endpoint &address() const { return server_.address(); }
    void setMood(StoreMood mood) { mood_ = mood; }
    // Drops the history and answers waiting watches with 410.
    void compact();

    // What operator and endpoints do.
    void put(const std::string &kind, const std::string &name, const nlohmann::json &spec);
    void remove(const std::string &kind, const std::string &name);
    // Puts an event about an older state of an object at the end of the history.
    void repeatOldEvent(const std::string &kind, const std::string &name,
                        const nlohmann::json &oldSpec, std::uint64_t oldRevision);

    std::uint64_t revision() const { return revision_; }
    int calls() const { return calls_; }
    int lists() const { return lists_; }

private:
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
        std::shared_ptr<httpio::Reply> reply;
        bool isOver = false;
    };

    void handle(const httpio::ServerRequest &request, const std::shared_ptr<httpio::Reply> &reply);
    void serve(const httpio::ServerRequest &request, const std::shared_ptr<httpio::Reply> &reply);
    void list(const std::string &kind, const std::string &after, httpio::Reply &reply);
    void watch(const std::string &kind, std::uint64_t from, std::chrono::milliseconds wait,
               const std::shared_ptr<httpio::Reply> &reply);
    void write(const std::string &method, const std::string &kind, const std::string &name,
               const std::string &body, httpio::Reply &reply);
    void record(const std::string &kind, const nlohmann::json &object, bool deleted);
    std::vector<Event> eventsSince(const std::string &kind, std::uint64_t from) const;
    void answerWatches();

    httpio::Timers &timers_;
    httpio::ServerLimits limits_;
    httpio::Server server_;
    StoreMood mood_ = StoreMood::Normal;
    std::map<std::string, std::map<std::string, nlohmann::json>> objects_;
    std::deque<Event> history_;
    std::uint64_t revision_ = 1;
    std::uint64_t historyBegins_ = 1;
    std::vector<std::shared_ptr<Watch>> watches_;
    std::vector<std::shared_ptr<httpio::Reply>> unanswered_;
    int calls_ = 0;
    int lists_ = 0;
};

} // namespace monsoongrade::standins

#endif // MONSOONGRADE_TESTS_PLATFORM_STANDIN_STANDINSTORE_H
