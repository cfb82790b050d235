#include <httpio/internal/serverconnection.h>

#include <monsoongrade/httpio/messagewriter.h>
#include <monsoongrade/httpio/socketoptions.h>

#include <asio/buffer.hpp>

namespace monsoongrade::httpio {

namespace {

// Limit of bytes buffered for later requests while one is open. Clients wait for each response;
// the limit only keeps one that pipelines requests from exhausting the memory.
constexpr std::size_t MaxUnparsedBytes = 64 * 1024;
// How long a half-closed connection still reads and discards bytes: closing a socket with unread
// bytes sends a reset, on which the client may lose the response.
constexpr auto LingerTime = std::chrono::seconds(1);
// How long a connection that will be refused may take to send the head of its request.
constexpr auto RefusalTimeout = std::chrono::seconds(1);
const Headers RetryLater{{"Retry-After", "1"}};

constexpr int StatusBadRequest = 400;
constexpr int StatusRequestTimeout = 408;
constexpr int StatusContentTooLarge = 413;
constexpr int StatusHeadTooLarge = 431;
constexpr int StatusUnavailable = 503;

class ConnectionResponseWriter : public ResponseWriter
{
public:
    ConnectionResponseWriter(std::shared_ptr<ServerConnection> connection, std::uint64_t number)
        : connection_(std::move(connection))
        , requestNumber_(number)
    {
    }

    void respond(int status, const Headers &headers, std::string_view body) override
    {
        if (isCurrent())
            connection_->respond(status, headers, body);
    }
    void begin(int status, const Headers &headers) override
    {
        if (isCurrent())
            connection_->begin(status, headers);
    }
    void write(std::string_view bytes) override
    {
        if (isCurrent())
            connection_->write(bytes);
    }
    void end() override
    {
        if (isCurrent())
            connection_->end();
    }
    void abort() override
    {
        if (isCurrent())
            connection_->abort();
    }
    bool isClientConnected() const override
    {
        return isCurrent() && connection_->isClientConnected();
    }
    std::size_t unsentBytes() const override
    {
        return isCurrent() ? connection_->unsentBytes() : 0;
    }
    void onClientDisconnected(std::function<void()> handler) override
    {
        if (isCurrent())
            connection_->setOnClientDisconnected(std::move(handler));
    }
    void onDrained(std::function<void()> handler) override
    {
        if (isCurrent())
            connection_->setOnDrained(std::move(handler));
    }

private:
    bool isCurrent() const { return connection_->isCurrent(requestNumber_); }

    std::shared_ptr<ServerConnection> connection_;
    std::uint64_t requestNumber_;
};

} // namespace

ServerConnection::ServerConnection(Server &server, asio::ip::tcp::socket socket)
    : server_(server)
    , socket_(std::move(socket))
    , parser_(MessageKind::Request, server.limits_.maxHeadBytes, *this)
    , heldBytes_(server.unsentBytes_)
{
}

void ServerConnection::start()
{
    setClientSocketOptions(socket_);
    receivedAt_ = server_.timers_.now();
    setTimeout();
    becomeIdleIfUnused();
    read();
}

void ServerConnection::closeIfIdle()
{
    if (!requestOpen_ && !parser_.insideMessage() && unparsed_.empty() && !isWriting_)
        close();
}

bool ServerConnection::closeUnlessReadable()
{
    if (pendingInput(socket_) == PendingInput::Bytes)
        return false;
    close();
    return true;
}

void ServerConnection::setIdle(bool idle)
{
    if (idle == idle_)
        return;
    if (idle)
        idleSince_ = server_.timers_.now();
    idle_ = idle;
    if (idle)
        server_.onIdle(*this);
    else
        server_.onBusy(*this);
}

void ServerConnection::becomeIdleIfUnused()
{
    const bool isUsed = requestOpen_ || refuses_ || closeAfterWrite_ || parser_.insideMessage()
        || !unparsed_.empty() || isWriting_;
    setIdle(open_ && !isUsed);
}

void ServerConnection::closeForShutdown()
{
    onClientDisconnected_ = nullptr;
    onDrained_ = nullptr;
    open_ = false;
    server_.timers_.cancel(timeout_);
    asio::error_code ignored; // the socket may be closed already
    socket_.close(ignored);
}

void ServerConnection::read()
{
    if (!open_ || reading_ || unparsed_.size() > MaxUnparsedBytes)
        return;
    reading_ = true;
    socket_.async_read_some(
        asio::buffer(buffer_),
        [self = shared_from_this()](const asio::error_code &error, std::size_t count) {
            self->reading_ = false;
            self->onRead(error, count);
        });
}

void ServerConnection::onRead(const asio::error_code &error, std::size_t count)
{
    if (!open_)
        return;
    if (error) {
        onClientClosed();
        return;
    }
    if (!lingering_) {
        setIdle(false);
        if (!requestOpen_ && !parser_.insideMessage())
            receivedAt_ = server_.timers_.now();
        unparsed_.append(buffer_.data(), count);
        parse();
        becomeIdleIfUnused();
    }
    read();
}

void ServerConnection::parse()
{
    while (open_ && !lingering_ && !requestOpen_ && !unparsed_.empty()) {
        parser_.setMaxHeadBytes(server_.limits_.maxHeadBytes);
        const std::string bytes = std::move(unparsed_);
        unparsed_.clear();
        const std::size_t taken = parser_.feed(bytes);
        if (taken < bytes.size())
            unparsed_.insert(0, bytes, taken, std::string::npos);
        if (parser_.failed() && !closeAfterWrite_)
            rejectRequest(parser_.headTooLarge() ? StatusHeadTooLarge : StatusBadRequest);
        if (parser_.failed() || closeAfterWrite_)
            return;
        if (!requestOpen_)
            setTimeout();
    }
}

void ServerConnection::onHead(MessageHead head)
{
    if (refuses_) {
        rejectRequest(StatusUnavailable, RetryLater);
        return;
    }
    clientKeepsAlive_ = head.keepAlive;
    headRequest_ = head.method == "HEAD";
    head_ = std::move(head);
    body_.clear();
    if (headerListsToken(head_.headers, "expect", "100-continue")) {
        pending_ += "HTTP/1.1 100 Continue\r\n\r\n";
        flush();
    }
}

void ServerConnection::onBody(std::string_view bytes)
{
    if (closeAfterWrite_)
        return;
    if (body_.size() + bytes.size() > server_.limits_.maxBodyBytes) {
        rejectRequest(StatusContentTooLarge);
        return;
    }
    if (server_.bufferedBytes_ + bytes.size() > server_.limits_.maxBufferedBytes) {
        rejectRequest(StatusUnavailable, RetryLater);
        return;
    }
    body_.append(bytes);
    server_.bufferedBytes_ += bytes.size();
    bufferedBytes_ += bytes.size();
}

void ServerConnection::onEnd()
{
    if (closeAfterWrite_)
        return;
    server_.timers_.cancel(timeout_);
    requestOpen_ = true;
    ++requestNumber_;
    ++server_.openRequests_;
    ServerRequest request{std::move(head_), std::make_shared<const std::string>(std::move(body_)),
                          receivedAt_};
    head_ = {};
    body_ = {};
    server_.handler_(
        std::move(request),
        std::make_shared<ConnectionResponseWriter>(shared_from_this(), requestNumber_));
}

// Responds with an error and closes, as the start of the next request is unknown.
void ServerConnection::rejectRequest(int status, const Headers &headers)
{
    closeAfterWrite_ = true;
    pending_ += encodeResponseHead(status, headers, Framing::Length, 0, false);
    flush();
    setTimeout();
}

void ServerConnection::setTimeout()
{
    server_.timers_.cancel(timeout_);
    const bool inHead = parser_.insideMessage() && !parser_.headComplete();
    units::TimePoint at = server_.timers_.now() + server_.limits_.idleTimeout;
    if (!closeAfterWrite_ && refuses_)
        at = receivedAt_ + RefusalTimeout;
    else if (!closeAfterWrite_ && inHead)
        at = receivedAt_ + server_.limits_.headTimeout;
    timeout_ = server_.timers_.at(at, [self = shared_from_this()] { self->onTimeout(); });
}

void ServerConnection::onTimeout()
{
    if (requestOpen_ || !open_)
        return;
    if (isClientReading()) {
        setTimeout();
        return;
    }
    if (parser_.insideMessage() && !closeAfterWrite_)
        rejectRequest(StatusRequestTimeout);
    else
        close();
}

// True if the client still reads the last response. All of it may be in the kernel, which reports a
// write as complete long before a slow client has read it.
bool ServerConnection::isClientReading()
{
    const std::size_t bytes = unacknowledgedBytes(socket_);
    const bool isUnread = isWriting_ || bytes > 0;
    const bool hasLess = !queuedBytes_ || bytes < *queuedBytes_;
    queuedBytes_ = bytes;
    return isUnread && hasLess;
}

// A draining server still responds to the requests that were read with this one.
bool ServerConnection::keepsAlive() const
{
    return clientKeepsAlive_ && (!server_.draining_ || !unparsed_.empty());
}

void ServerConnection::onClientClosed()
{
    const auto gone = std::move(onClientDisconnected_);
    onClientDisconnected_ = nullptr;
    if (requestOpen_) {
        requestOpen_ = false;
        --server_.openRequests_;
    }
    close();
    if (gone)
        gone();
}

void ServerConnection::lingerAndClose()
{
    lingering_ = true;
    asio::error_code error;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, error);
    if (error) {
        close();
        return;
    }
    unparsed_.clear();
    server_.timers_.cancel(timeout_);
    timeout_ = server_.timers_.after(LingerTime, [self = shared_from_this()] { self->close(); });
    read();
}

void ServerConnection::close()
{
    if (!open_)
        return;
    setIdle(false);
    open_ = false;
    server_.timers_.cancel(timeout_);
    server_.bufferedBytes_ -= bufferedBytes_;
    bufferedBytes_ = 0;
    onDrained_ = nullptr;
    pending_ = {};
    heldBytes_.set(0);
    asio::error_code ignored; // the socket is closed even if this fails
    socket_.close(ignored);
    server_.connections_.erase(shared_from_this());
    server_.accept();
}

} // namespace monsoongrade::httpio
