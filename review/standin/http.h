#ifndef MONSOONGRADE_REVIEW_STANDIN_HTTP_H
#define MONSOONGRADE_REVIEW_STANDIN_HTTP_H

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

// Milliseconds on the steady clock.
std::int64_t nowMs();
// Milliseconds since 1970.
std::int64_t unixMs();
void sleepMs(std::int64_t milliseconds);

// A request or a response. Names of headers are in lower case.
struct Message
{
    std::string method;
    std::string target;
    int status = 0;
    std::map<std::string, std::string> headers;
    std::string body;

    std::string header(const std::string &name) const;
};

// One connection with blocking calls.
class Connection
{
public:
    explicit Connection(int socket);
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    // Returns nothing within the limit if the host can't be reached.
    static std::unique_ptr<Connection> open(const std::string &address, int limitMs);

    bool send(const std::string &bytes);
    // The next whole message; nothing if the connection ends first, or after the limit.
    std::optional<Message> read(int limitMs);
    // Wakes a reader in another thread.
    void shutDown();
    bool endedEarly() const { return endedEarly_; }

private:
    bool fill(std::int64_t until);

    int socket_;
    std::string buffer_;
    bool endedEarly_ = false;
};

// Listens on an address and calls the handler with each request, one thread a connection. The
// handler sends the response itself and returns false to close the connection.
class Server
{
public:
    using Handler = std::function<bool(const Message &, Connection &)>;

    // Port 0 takes a free one.
    Server(const std::string &ip, int port, Handler handler);
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    std::string address() const;
    // Refuses new connections and ends the open ones.
    void stop();

private:
    void accept();
    void serve(int socket);

    std::string ip_;
    int port_ = 0;
    int listener_ = -1;
    Handler handler_;
    std::mutex mutex_;
    std::set<Connection *> open_;
    bool stopped_ = false;
    std::thread acceptor_;
    std::vector<std::thread> threads_;
};

std::string encodeResponse(int status, const std::vector<std::string> &headers,
                           const std::string &body);

} // namespace review

#endif // MONSOONGRADE_REVIEW_STANDIN_HTTP_H
