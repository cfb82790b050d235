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

// How an exchange on a channel ended without a complete response.
enum class ChannelFailure {
    NotConnected, // no connection was made
    NothingSent, // closed before the kernel accepted any byte of the request
    BrokenBeforeResponse, // bytes of the request may have been sent; none were received
    BrokenInResponse, // closed or reset after the first byte of a response, before its end
    Malformed, // received bytes that are not an HTTP response
};

// Receives the events of the request that a channel carries.
class ChannelListener
{
public:
    virtual ~ChannelListener() = default;
    virtual void onResponseHead(const MessageHead &head) = 0;
    virtual void onResponseBody(std::string_view bytes) = 0;
    // The response is complete. Before it returns, the listener may release or close the channel;
    // otherwise it receives the next response, as when this one belonged to another request.
    virtual void onResponseEnd() = 0;
    // The channel is closed; no further call follows.
    virtual void onChannelFailure(ChannelFailure failure) = 0;
};

// One TCP connection to an HTTP/1.1 server, which carries one request at a time. Never resends a
// request and never reconnects: only the caller knows whether a request may be repeated.
class Channel : public std::enable_shared_from_this<Channel>, private MessageListener
{
public:
    Channel(asio::io_context &io, asio::ip::tcp::endpoint address);
    ~Channel() override;
    Channel(const Channel &) = delete;
    Channel &operator=(const Channel &) = delete;

    // Connects, and reports once whether that succeeded. To enforce a timeout, the caller calls
    // close(), after which nothing is reported.
    void connect(std::function<void(bool)> connected);

    // Sends a request. The listener must outlive the request: until its response ends, it fails, or
    // release() or close() is called.
    void send(std::string head, std::shared_ptr<const std::string> body, ChannelListener &listener);

    // Passes the request that the channel carries to another listener, also from within a call of
    // the present one.
    void setListener(ChannelListener &listener) { listener_ = &listener; }

    // Ends the use of a channel whose response is complete. Returns true if it can carry another
    // request; onUnusable is then called if the server closes it or sends unsolicited bytes while
    // it is idle.
    bool release(std::function<void()> onUnusable);

    // Closes at once. Calls neither the listener nor onUnusable.
    void close();
    // Closes at once with a TCP reset, which discards unsent bytes of the request.
    void reset();

    // Pause and resume reading, for backpressure from a slow reader.
    void pauseReading();
    void resumeReading();
    bool isReadingPaused() const { return paused_; }

    // Returns false if the server has closed the connection or sent bytes that are not read yet.
    // Asks the kernel, which may know of a close that this process has not handled yet.
    bool isStillIdle();

    bool isOpen() const { return open_; }
    // What was wrong with the response after ChannelFailure::Malformed; see
    // MessageParser::problem().
    std::string_view problem() const { return parser_.problem(); }
    const asio::ip::tcp::endpoint &address() const { return address_; }

private:
    // An event of a stream is smaller than 400 bytes, so one read takes several events.
    static constexpr std::size_t ReadBufferBytes = 4096;

    void onHead(MessageHead head) override;
    void onBody(std::string_view bytes) override;
    void onEnd() override;

    void read();
    void onRead(const asio::error_code &error, std::size_t count);
    void parse(std::string_view bytes);
    void onSent(const asio::error_code &error, std::size_t count);
    void onClosedByPeer(bool isOrderly);
    // Closes an idle channel and notifies its owner.
    void becomeUnusable();
    void fail(ChannelFailure failure);

    asio::ip::tcp::socket socket_;
    asio::ip::tcp::endpoint address_;
    MessageParser parser_;
    std::array<char, ReadBufferBytes> buffer_{};
    ChannelListener *listener_ = nullptr;
    std::function<void()> onUnusable_;
    std::string head_;
    std::shared_ptr<const std::string> body_;
    bool open_ = false;
    bool reading_ = false;
    bool paused_ = false;
    bool sending_ = false;
    bool sendFailed_ = false;
    bool closedWhileSending_ = false; // by the peer, in order as far as the read side can tell
    bool sentSomething_ = false;
    bool receivedSomething_ = false;
    bool keepAlive_ = true;
    bool isResponseComplete_ = true; // no response is expected
};

} // namespace monsoongrade::httpio

#endif // MONSOONGRADE_HTTPIO_CHANNEL_H
