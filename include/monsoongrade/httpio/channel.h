#ifndef MONSOONGRADE_HTTPIO_CHANNEL_H
#define MONSOONGRADE_HTTPIO_CHANNEL_H

#include <monsoongrade/httpio/messageparser.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <array>
#include <functional>
#include <memory>
#include <string>

namespace monsoongrade::httpio {

// How an exchange on a channel ended without a whole response.
enum class ChannelFailure {
    NotConnected, // no connection was made
    NothingSent, // the connection broke before the system took any byte of the request
    BrokenBeforeResponse, // some bytes of the request may have left; no byte came back
    BrokenInResponse, // closed or reset after the first byte of a response, before its end
    Malformed, // bytes came that are no HTTP response
};

// Receives what happens to the request that a channel carries.
class ChannelListener
{
public:
    virtual ~ChannelListener() = default;
    virtual void onResponseHead(const MessageHead &head) = 0;
    virtual void onResponseBody(std::string_view bytes) = 0;
    // The response is whole. The user decides before it returns: release or close the channel, or
    // do nothing to receive the next response, because this one belonged to another request.
    virtual void onResponseEnd() = 0;
    // The channel is closed; nothing follows.
    virtual void onChannelFailure(ChannelFailure failure) = 0;
};

// One TCP connection to an HTTP/1.1 server, which carries one request at a time. It never sends a
// request twice and never reconnects: only the caller knows whether a request may run again.
class Channel : public std::enable_shared_from_this<Channel>, private MessageListener
{
public:
    Channel(asio::io_context &io, asio::ip::tcp::endpoint address);
    ~Channel() override;
    Channel(const Channel &) = delete;
    Channel &operator=(const Channel &) = delete;

    // Connects, and reports once whether that worked. The caller limits the time by close(),
    // after which nothing is reported.
    void connect(std::function<void(bool)> connected);

    // Sends a request. The user must live until its end, a failure, release() or close().
    void send(std::string head, std::shared_ptr<const std::string> body, ChannelListener &user);

    // Ends the use of a channel whose response is whole. Returns true if it can carry another
    // request; onUnusable is then called if the server closes it, or sends bytes that no request
    // asked for, while it is idle.
    bool release(std::function<void()> onUnusable);

    // Closes at once. Neither the user nor onUnusable is called.
    void close();
    // Closes at once by a reset: bytes of the request that have not left yet never do.
    void reset();

    // Stops and resumes reading, to slow the server down to the speed of a slow reader.
    void pauseReading();
    void resumeReading();

    // False if the server has already closed the connection or left unread bytes on it. Asks the
    // system, which may know of a close that this process has not handled yet.
    bool isStillIdle();

    bool isOpen() const { return open_; }
    const asio::ip::tcp::endpoint &address() const { return address_; }

private:
    // A stream's events are below 400 bytes each, so one read takes several of them.
    static constexpr std::size_t ReadBufferBytes = 4096;

    void onHead(MessageHead head) override;
    void onBody(std::string_view bytes) override;
    void onEnd() override;

    void read();
    void onRead(const asio::error_code &error, std::size_t count);
    void parse(std::string_view bytes);
    void onClosedByPeer(bool inOrder);
    // Closes an idle channel and tells its owner.
    void becomeUnusable();
    void fail(ChannelFailure failure);

    asio::ip::tcp::socket socket_;
    asio::ip::tcp::endpoint address_;
    MessageParser parser_;
    std::array<char, ReadBufferBytes> buffer_{};
    ChannelListener *user_ = nullptr;
    std::function<void()> onUnusable_;
    std::string head_;
    std::shared_ptr<const std::string> body_;
    bool open_ = false;
    bool reading_ = false;
    bool paused_ = false;
    bool sending_ = false;
    bool sentSomething_ = false;
    bool receivedSomething_ = false;
    bool keepAlive_ = true;
    bool responseEnded_ = true; // nothing is awaited
};

} // namespace monsoongrade::httpio

#endif // MONSOONGRADE_HTTPIO_CHANNEL_H
