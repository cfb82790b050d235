#include <monsoongrade/httpio/channel.h>

#include <monsoongrade/httpio/socketoptions.h>

#include <asio/buffer.hpp>
#include <asio/write.hpp>

namespace monsoongrade::httpio {

namespace {

// Endpoints send about 300 bytes of headers; the limit only guards against a faulty server.
constexpr std::size_t MaxResponseHeadBytes = 64 * 1024;

} // namespace

Channel::Channel(asio::io_context &io, asio::ip::tcp::endpoint address)
    : socket_(io)
    , address_(std::move(address))
    , parser_(MessageKind::Response, MaxResponseHeadBytes, *this)
{
}

Channel::~Channel() = default;

void Channel::connect(std::function<void(bool)> connected)
{
    asio::error_code error;
    socket_.open(asio::ip::tcp::v4(), error);
    if (!error)
        setSocketOptions(socket_);
    open_ = true;
    socket_.async_connect(address_,
                          [self = shared_from_this(),
                           connected = std::move(connected)](const asio::error_code &failure) {
                              if (!self->open_)
                                  return;
                              if (failure)
                                  self->close();
                              else
                                  self->read();
                              connected(!failure);
                          });
}

void Channel::send(std::string head, std::shared_ptr<const std::string> body,
                   ChannelListener &listener)
{
    listener_ = &listener;
    onUnusable_ = nullptr;
    head_ = std::move(head);
    body_ = std::move(body);
    sending_ = true;
    sendFailed_ = false;
    closedWhileSending_ = false;
    sentSomething_ = false;
    receivedSomething_ = false;
    keepAlive_ = true;
    isResponseComplete_ = false;
    if (head_.compare(0, 5, "HEAD ") == 0)
        parser_.expectNoBody();
    const std::array<asio::const_buffer, 2> buffers{asio::buffer(head_), asio::buffer(*body_)};
    asio::async_write(socket_, buffers,
                      [self = shared_from_this()](const asio::error_code &error, std::size_t sent) {
                          self->onSent(error, sent);
                      });
    // The write may already be in progress: bytes count as sent unless known to be unsent.
    sentSomething_ = true;
}

void Channel::onSent(const asio::error_code &error, std::size_t count)
{
    sending_ = false;
    sendFailed_ = bool(error);
    sentSomething_ = sentSomething_ || count > 0;
    if (!open_)
        return;
    // Once bytes have been sent, the read side reports the failure, since an early response may
    // still be readable.
    if (error && count == 0)
        fail(ChannelFailure::NothingSent);
    else if (closedWhileSending_)
        onClosedByPeer(true);
}

bool Channel::release(std::function<void()> onUnusable)
{
    listener_ = nullptr;
    paused_ = false;
    if (!open_ || sending_ || !keepAlive_ || !isResponseComplete_ || parser_.failed()) {
        close();
        return false;
    }
    onUnusable_ = std::move(onUnusable);
    body_.reset();
    read();
    return true;
}

void Channel::reset()
{
    asio::error_code ignored; // fails on a broken socket, which has nothing left to send
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    close();
}

void Channel::close()
{
    listener_ = nullptr;
    onUnusable_ = nullptr;
    if (!open_)
        return;
    open_ = false;
    asio::error_code ignored; // the socket is closed even if this fails
    socket_.close(ignored);
}

void Channel::pauseReading()
{
    paused_ = true;
}

void Channel::resumeReading()
{
    paused_ = false;
    read();
}

bool Channel::isStillIdle()
{
    return open_ && pendingInput(socket_) == PendingInput::None;
}

void Channel::read()
{
    if (!open_ || reading_ || paused_)
        return;
    reading_ = true;
    socket_.async_read_some(
        asio::buffer(buffer_),
        [self = shared_from_this()](const asio::error_code &error, std::size_t count) {
            self->reading_ = false;
            self->onRead(error, count);
        });
}

void Channel::onRead(const asio::error_code &error, std::size_t count)
{
    if (!open_)
        return;
    if (error) {
        onClosedByPeer(error == asio::error::eof);
        return;
    }
    parse(std::string_view(buffer_.data(), count));
    read();
}

void Channel::parse(std::string_view bytes)
{
    while (open_ && !bytes.empty()) {
        if (listener_ == nullptr) {
            // Unsolicited bytes, such as a second response to an earlier request, must not be
            // mistaken for the response to the next request.
            becomeUnusable();
            return;
        }
        receivedSomething_ = true;
        bytes.remove_prefix(parser_.feed(bytes));
        if (open_ && parser_.failed()) {
            fail(ChannelFailure::Malformed);
            return;
        }
    }
}

void Channel::onClosedByPeer(bool isOrderly)
{
    if (listener_ == nullptr) {
        becomeUnusable();
        return;
    }
    // After a reset, the kernel reports the error only once. If that was to a write, a read finds
    // the end of the stream as after an orderly close.
    if (isOrderly && sending_ && parser_.endsAtClose()) {
        closedWhileSending_ = true;
        return;
    }
    // A response without length is complete only after an orderly close: a reset may have
    // truncated it anywhere.
    if (isOrderly && !sendFailed_ && parser_.finishAtClose() && listener_ == nullptr)
        return;
    if (open_ && listener_ != nullptr)
        fail(receivedSomething_   ? ChannelFailure::BrokenInResponse
                 : sentSomething_ ? ChannelFailure::BrokenBeforeResponse
                                  : ChannelFailure::NothingSent);
}

void Channel::becomeUnusable()
{
    const auto onUnusable = std::move(onUnusable_);
    close();
    if (onUnusable)
        onUnusable();
}

void Channel::fail(ChannelFailure failure)
{
    ChannelListener *listener = listener_;
    close();
    if (listener != nullptr)
        listener->onChannelFailure(failure);
}

void Channel::onHead(MessageHead head)
{
    isResponseComplete_ = false;
    keepAlive_ = head.keepAlive;
    if (listener_ != nullptr)
        listener_->onResponseHead(head);
}

void Channel::onBody(std::string_view bytes)
{
    if (listener_ != nullptr)
        listener_->onResponseBody(bytes);
}

void Channel::onEnd()
{
    isResponseComplete_ = true;
    if (listener_ != nullptr)
        listener_->onResponseEnd();
}

} // namespace monsoongrade::httpio
