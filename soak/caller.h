#ifndef MONSOONGRADE_SOAK_CALLER_H
#define MONSOONGRADE_SOAK_CALLER_H

#include <monsoongrade/httpio/channel.h>
#include <monsoongrade/httpio/timers.h>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace monsoongrade::soak {

enum class RequestKind : std::uint8_t { Safe, Unsafe, Stream, ResumableStream };

// One request and what its caller saw.
struct CallRecord
{
    std::string id; // given when it is sent, if empty
    RequestKind kind = RequestKind::Safe;
    std::string key;
    std::size_t host = 0;
    units::TimePoint sentAt;
    units::TimePoint endedAt;
    bool isEnded = false;
    bool wasSent = false; // on an open connection
    bool isOnKeptConnection = false; // which had served another request
    bool wasGivenUp = false; // by its caller
    int status = 0; // 0: no whole response
    int headStatus = 0; // 0: no response at all
    std::optional<std::chrono::milliseconds> retryAfter;
    std::string signature;
    std::string body;
    // Of a resumed stream: the attempt that brought its first event, empty for a new stream.
    std::string began;
    int lastEvent = 0; // that earlier attempts brought
    int resumptions = 0; // earlier ones that reached a host
    units::TimePoint firstSentAt; // of the first attempt
};

// Sends requests to gateways on kept connections, which it uses until they end.
class Caller
{
public:
    Caller(asio::io_context &io, httpio::Timers &timers);

    void send(const asio::ip::tcp::endpoint &address, CallRecord record);
    // Called at the end of each request.
    void onEnd(std::function<void(const CallRecord &)> ended) { ended_ = std::move(ended); }
    const std::vector<std::shared_ptr<CallRecord>> &records() const { return records_; }
    // Requests that have no end yet.
    int open() const { return open_; }

private:
    class Call;

    std::shared_ptr<httpio::Channel> takeIdle(const asio::ip::tcp::endpoint &address);
    void keep(const std::shared_ptr<httpio::Channel> &channel);

    asio::io_context &io_;
    httpio::Timers &timers_;
    std::vector<std::shared_ptr<CallRecord>> records_;
    std::map<asio::ip::tcp::endpoint, std::vector<std::shared_ptr<httpio::Channel>>> idle_;
    std::function<void(const CallRecord &)> ended_;
    int open_ = 0;
};

} // namespace monsoongrade::soak

#endif // MONSOONGRADE_SOAK_CALLER_H
