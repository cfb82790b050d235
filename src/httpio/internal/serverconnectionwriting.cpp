// The part of ServerConnection that sends responses.
#include <httpio/internal/serverconnection.h>

#include <monsoongrade/httpio/messagewriter.h>

#include <asio/buffer.hpp>
#include <asio/post.hpp>

namespace monsoongrade::httpio {

namespace {

// A larger buffer is not kept for the next response.
constexpr std::size_t MaxKeptCapacity = 16 * 1024;

} // namespace

void ServerConnection::respond(int status, const Headers &headers, std::string_view body)
{
    closeAfterWrite_ = !keepsAlive();
    pending_
        += encodeResponseHead(status, headers, Framing::Length, body.size(), !closeAfterWrite_);
    if (!headRequest_)
        pending_.append(body);
    finishRequest();
}

void ServerConnection::begin(int status, const Headers &headers)
{
    closeAfterWrite_ = !keepsAlive();
    pending_ += encodeResponseHead(status, headers, Framing::Chunked, 0, !closeAfterWrite_);
    flush();
}

void ServerConnection::write(std::string_view bytes)
{
    if (bytes.empty() || headRequest_)
        return;
    pending_ += encodeChunk(bytes);
    flush();
}

void ServerConnection::end()
{
    if (!headRequest_)
        pending_.append(LastChunk);
    finishRequest();
}

void ServerConnection::abort()
{
    requestOpen_ = false;
    --server_.openRequests_;
    onClientDisconnected_ = nullptr;
    onDrained_ = nullptr;
    close();
}

void ServerConnection::finishRequest()
{
    requestOpen_ = false;
    --server_.openRequests_;
    onClientDisconnected_ = nullptr;
    onDrained_ = nullptr;
    server_.bufferedBytes_ -= bufferedBytes_;
    bufferedBytes_ = 0;
    flush();
    if (!open_)
        return;
    setTimeout();
    if (!closeAfterWrite_ && !unparsed_.empty()) {
        receivedAt_ = server_.timers_.now();
        // Posted, so that a handler that responds at once does not recurse for each request.
        asio::post(socket_.get_executor(), [self = shared_from_this()] {
            self->parse();
            self->read();
        });
    }
}

void ServerConnection::flush()
{
    heldBytes_.set(unsentBytes());
    if (!open_ || isWriting_ || pending_.empty())
        return;
    isWriting_ = true;
    writing_.swap(pending_);
    writtenBytes_ = 0;
    writeSome();
}

void ServerConnection::writeSome()
{
    socket_.async_write_some(
        asio::buffer(writing_) + writtenBytes_,
        [self = shared_from_this()](const asio::error_code &error, std::size_t count) {
            self->onWritten(error, count);
        });
}

void ServerConnection::onWritten(const asio::error_code &error, std::size_t count)
{
    writtenBytes_ += count;
    heldBytes_.set(unsentBytes());
    queuedBytes_.reset();
    if (open_ && !error && writtenBytes_ < writing_.size()) {
        // A client that reads slowly is not idle.
        if (!requestOpen_)
            setTimeout();
        writeSome();
        return;
    }
    isWriting_ = false;
    writtenBytes_ = 0;
    writing_.clear();
    if (writing_.capacity() > MaxKeptCapacity)
        writing_.shrink_to_fit();
    if (!open_)
        return;
    if (error) {
        onClientClosed();
        return;
    }
    if (!pending_.empty()) {
        flush();
        return;
    }
    if (!requestOpen_ && closeAfterWrite_)
        lingerAndClose();
    else if (!requestOpen_)
        becomeIdleIfUnused();
    else if (onDrained_)
        onDrained_();
}

} // namespace monsoongrade::httpio
