#include <http/internal/responder.h>

#include <http/internal/connectionbreaker.h>

#include <utility>

namespace monsoongrade::http::internal {

namespace {

restinio::http_status_line_t statusLine(int status)
{
    return {restinio::http_status_code_t(static_cast<std::uint16_t>(status)),
            status < 400 ? "OK" : "Error"};
}

} // namespace

Responder::Responder(Strand strand, restinio::request_handle_t request, std::uint16_t localPort,
                     std::shared_ptr<void> ticket)
    : strand_(std::move(strand))
    , request_(std::move(request))
    , localPort_(localPort)
    , ticket_(std::move(ticket))
{
}

void Responder::answer(int status, Headers headers, std::string body)
{
    asio::post(
        strand_,
        [self = shared_from_this(), status, headers = std::move(headers),
         body = std::move(body)]() mutable { self->sendWhole(status, headers, std::move(body)); });
}

void Responder::begin(int status, Headers headers)
{
    asio::post(strand_, [self = shared_from_this(), status, headers = std::move(headers)] {
        self->sendHead(status, headers);
    });
}

void Responder::write(std::string bytes, std::function<void(std::size_t)> written)
{
    asio::post(strand_,
               [self = shared_from_this(), bytes = std::move(bytes),
                written = std::move(written)]() mutable {
                   self->sendPiece(std::move(bytes), std::move(written));
               });
}

void Responder::end()
{
    asio::post(strand_, [self = shared_from_this()] { self->sendEnd(); });
}

void Responder::abort()
{
    asio::post(strand_, [self = shared_from_this()] { self->breakOff(); });
}

void Responder::onGone(std::function<void()> handler)
{
    asio::post(strand_, [self = shared_from_this(), handler = std::move(handler)]() mutable {
        if (self->ended_)
            return;
        if (self->gone_)
            handler();
        else
            self->goneHandler_ = std::move(handler);
    });
}

void Responder::connectionClosed()
{
    asio::post(strand_, [self = shared_from_this()] {
        self->gone_ = true;
        if (self->goneHandler_ && !self->ended_)
            self->goneHandler_();
        self->goneHandler_ = nullptr;
        self->ticket_.reset();
    });
}

void Responder::sendWhole(int status, const Headers &headers, std::string body)
{
    if (ended_)
        return;
    auto builder = request_->create_response(statusLine(status));
    for (const auto &[name, value] : headers)
        builder.append_header(name, value);
    builder.set_body(std::move(body));
    builder.done([ticket = ticket_](const auto &) {});
    finish();
}

void Responder::sendHead(int status, const Headers &headers)
{
    builder_.emplace(request_->create_response<restinio::chunked_output_t>(statusLine(status)));
    for (const auto &[name, value] : headers)
        builder_->append_header(name, value);
    builder_->flush();
}

void Responder::sendPiece(std::string bytes, std::function<void(std::size_t)> written)
{
    if (!builder_ || ended_ || gone_)
        return;
    const std::size_t size = bytes.size();
    builder_->append_chunk(std::move(bytes));
    builder_->flush([size, written = std::move(written)](const auto &error) {
        if (!error && written)
            written(size);
    });
}

void Responder::sendEnd()
{
    if (!builder_ || ended_)
        return;
    if (!gone_)
        builder_->done([ticket = ticket_](const auto &) {});
    finish();
}

void Responder::breakOff()
{
    if (ended_)
        return;
    const auto peer = request_->remote_endpoint();
    breakConnection(peer.address().to_string(), peer.port(), localPort_);
    finish();
}

void Responder::finish()
{
    ended_ = true;
    builder_.reset();
    goneHandler_ = nullptr;
    request_.reset();
    ticket_.reset();
}

} // namespace monsoongrade::http::internal
