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

// How the stand-in store responds to calls.
enum class StoreBehavior {
    Normal,
    Silent, // accepts calls and never responds
    Refusing, // responds 503
    DroppingResponses, // closes the connection without a response
};

// The platform's object store as documented by the platform, in memory: objects by kind and name,
// one revision counter, lists, watches with a bounded history, conditional writes.
class StandInStore
{
public:
    // Listens on 127.0.0.1; port 0 takes a free one.
    StandInStore(asio::io_context &io, httpio::Timers &timers, std::uint16_t port);

    const asio::ip::tcp::endpoint &address() const { return listeners_.front()->server->address(); }
    // Adds an address of the same store, whose behavior can be set separately.
    asio::ip::tcp::endpoint addAddress();
    // Sets the behavior at all addresses, or at one of them.
    void setBehavior(StoreBehavior behavior);
    void setBehavior(StoreBehavior behavior, const asio::ip::tcp::endpoint &address);
    // Makes all further stale lists show the store's content as of this call.
    void freezeStaleLists();
    // Drops the history and responds 410 to pending watches.
    void compact();

    // Changes made by the operator and by endpoints.
    void put(const std::string &kind, const std::string &name, const nlohmann::json &spec);
    void remove(const std::string &kind, const std::string &name);
    // Writes an object whose spec is shown as this text, which need not be JSON.
    void putText(const std::string &kind, const std::string &name, const std::string &spec);
    // Appends an event with an older state of an object to the history.
    void repeatOldEvent(const std::string &kind, const std::string &name,
                        const nlohmann::json &oldSpec, std::uint64_t oldRevision);

    std::uint64_t revision() const { return revision_; }
    // All calls except stale lists.
    int calls() const { return calls_; }
    int staleLists() const { return staleLists_; }
    int lists() const { return lists_; }

private:
    struct Listener
    {
        std::unique_ptr<httpio::Server> server;
        StoreBehavior behavior = StoreBehavior::Normal;
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
        const Listener *listener = nullptr;
        bool isFinished = false;
    };

    using Objects = std::map<std::string, std::map<std::string, nlohmann::json>>;

    void open(std::uint16_t port);
    void handle(const Listener &listener, const httpio::ServerRequest &request,
                const std::shared_ptr<httpio::ResponseWriter> &reply);
    void serve(const Listener &listener, const httpio::ServerRequest &request,
               const std::shared_ptr<httpio::ResponseWriter> &reply);
    void list(const Objects &objects, std::uint64_t asOf, const std::string &kind,
              const std::string &after, httpio::ResponseWriter &reply) const;
    void watch(const Listener &listener, const std::string &kind, std::uint64_t from,
               std::chrono::milliseconds wait,
               const std::shared_ptr<httpio::ResponseWriter> &reply);
    void write(const std::string &method, const std::string &kind, const std::string &name,
               const std::string &body, httpio::ResponseWriter &reply);
    void record(const std::string &kind, const nlohmann::json &object, bool deleted);
    std::string bodyOf(const nlohmann::json &response) const;
    std::vector<Event> eventsSince(const std::string &kind, std::uint64_t from) const;
    void respondToWatches();

    asio::io_context &io_;
    httpio::Timers &timers_;
    httpio::ServerLimits limits_;
    std::vector<std::unique_ptr<Listener>> listeners_;
    Objects objects_;
    std::optional<Objects> staleObjects_;
    std::map<std::string, std::string> texts_; // in place of these specs
    std::uint64_t staleRevision_ = 0;
    std::deque<Event> history_;
    std::uint64_t revision_ = 1;
    std::uint64_t historyBegins_ = 1;
    std::vector<std::shared_ptr<Watch>> watches_;
    std::vector<std::shared_ptr<httpio::ResponseWriter>> heldReplies_;
    int calls_ = 0;
    int lists_ = 0;
    int staleLists_ = 0;
};

// The entry that a worker of the service writes when it has started; tests change single fields.
inline nlohmann::json workerEntry(const std::string &service, const std::string &address)
{
    return {{"service", service}, {"address", address}, {"zone", "z1"},
            {"slots", 8},         {"state", "ready"},   {"born", 1}};
}

} // namespace monsoongrade::standins

#endif // MONSOONGRADE_TESTS_PLATFORM_STANDIN_STANDINSTORE_H
