#include <monsoongrade/http/httpserver.h>

#include <http/internal/connectionbreaker.h>

#include <asio.hpp>
#include <restinio/all.hpp>

#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

namespace monsoongrade::http {

namespace {

using units::ResultCode;
using Strand = asio::strand<asio::io_context::executor_type>;
using ChunkedBuilder = restinio::response_builder_t<restinio::chunked_output_t>;

// Queue, write and stream times are bounded by the router itself.
constexpr auto HandlingTimeLimit = std::chrono::hours(24);
// Two, so that the library goes on reading while an answer is open; only then does it notice
// that the caller has closed the connection.
constexpr std::size_t PipelinedRequests = 2;
// What is over a limit, up to so many times, is still read, so that the refusal can be sent.
constexpr std::size_t ReadBeyondLimit = 2;

restinio::http_status_line_t statusLine(int status)
{
    return {restinio::http_status_code_t(static_cast<std::uint16_t>(status)),
            status < 400 ? "OK" : "Error"};
}

class Responder : public HttpResponder, public std::enable_shared_from_this<Responder>
{
public:
    // The ticket counts the answer as open until it is destroyed.
    Responder(Strand strand, restinio::request_handle_t request, std::uint16_t localPort,
              std::shared_ptr<void> ticket)
        : strand_(std::move(strand))
        , request_(std::move(request))
        , localPort_(localPort)
        , ticket_(std::move(ticket))
    {
    }

    void answer(int status, Headers headers, std::string body) override
    {
        asio::post(strand_,
                   [self = shared_from_this(), status, headers = std::move(headers),
                    body = std::move(body)]() mutable {
                       self->sendWhole(status, headers, std::move(body));
                   });
    }

    void begin(int status, Headers headers) override
    {
        asio::post(strand_, [self = shared_from_this(), status, headers = std::move(headers)] {
            self->sendHead(status, headers);
        });
    }

    void write(std::string bytes, std::function<void(std::size_t)> written) override
    {
        asio::post(strand_,
                   [self = shared_from_this(), bytes = std::move(bytes),
                    written = std::move(written)]() mutable {
                       self->sendPiece(std::move(bytes), std::move(written));
                   });
    }

    void end() override
    {
        asio::post(strand_, [self = shared_from_this()] { self->sendEnd(); });
    }

    void abort() override
    {
        asio::post(strand_, [self = shared_from_this()] { self->breakOff(); });
    }

    void onGone(std::function<void()> handler) override
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

    void connectionClosed()
    {
        asio::post(strand_, [self = shared_from_this()] {
            self->gone_ = true;
            if (self->goneHandler_ && !self->ended_)
                self->goneHandler_();
            self->goneHandler_ = nullptr;
            self->ticket_.reset();
        });
    }

private:
    void sendWhole(int status, const Headers &headers, std::string body)
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

    void sendHead(int status, const Headers &headers)
    {
        builder_.emplace(request_->create_response<restinio::chunked_output_t>(statusLine(status)));
        for (const auto &[name, value] : headers)
            builder_->append_header(name, value);
        builder_->flush();
    }

    void sendPiece(std::string bytes, std::function<void(std::size_t)> written)
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

    void sendEnd()
    {
        if (!builder_ || ended_)
            return;
        if (!gone_)
            builder_->done([ticket = ticket_](const auto &) {});
        finish();
    }

    void breakOff()
    {
        if (ended_)
            return;
        const auto peer = request_->remote_endpoint();
        internal::breakConnection(peer.address().to_string(), peer.port(), localPort_);
        finish();
    }

    void finish()
    {
        ended_ = true;
        builder_.reset();
        goneHandler_ = nullptr;
        request_.reset();
        ticket_.reset();
    }

    Strand strand_;
    restinio::request_handle_t request_;
    std::uint16_t localPort_;
    std::shared_ptr<void> ticket_;
    std::optional<ChunkedBuilder> builder_;
    std::function<void()> goneHandler_;
    bool ended_ = false;
    bool gone_ = false;
};

// Knows the open answers of each connection, to tell them when it closes.
class ConnectionListener
{
public:
    void add(restinio::connection_id_t connection, const std::shared_ptr<Responder> &responder)
    {
        const std::lock_guard lock(mutex_);
        auto &open = open_[connection];
        for (auto entry = open.begin(); entry != open.end();)
            entry = entry->expired() ? open.erase(entry) : std::next(entry);
        open.push_back(responder);
    }

    void state_changed(const restinio::connection_state::notice_t &notice) noexcept // NOLINT
    {
        using restinio::connection_state::closed_t;
        if (!restinio::holds_alternative<closed_t>(notice.cause()))
            return;
        std::vector<std::weak_ptr<Responder>> closed;
        {
            const std::lock_guard lock(mutex_);
            const auto found = open_.find(notice.connection_id());
            if (found == open_.end())
                return;
            closed = std::move(found->second);
            open_.erase(found);
        }
        for (const auto &entry : closed) {
            if (const auto responder = entry.lock())
                responder->connectionClosed();
        }
    }

private:
    std::mutex mutex_;
    std::map<restinio::connection_id_t, std::vector<std::weak_ptr<Responder>>> open_;
};

struct ServerTraits : public restinio::default_traits_t
{
    using request_handler_t
        = std::function<restinio::request_handling_status_t(restinio::request_handle_t)>;
    using connection_state_listener_t = ConnectionListener;
    static constexpr bool use_connection_count_limiter = true; // NOLINT
};

std::string lowerCase(std::string text)
{
    for (char &c : text) {
        if (c >= 'A' && c <= 'Z')
            c = static_cast<char>(c - 'A' + 'a');
    }
    return text;
}

HttpRequest read(const restinio::request_handle_t &request)
{
    HttpRequest result;
    const auto &header = request->header();
    result.method = header.method().c_str();
    result.path = std::string(header.path());
    result.query = std::string(header.query());
    header.for_each_field([&result](const restinio::http_header_field_t &field) {
        result.headers.emplace_back(lowerCase(field.name()), field.value());
    });
    result.body = request->body();
    const auto remote = request->remote_endpoint();
    result.remote = remote.address().to_string() + ":" + std::to_string(remote.port());
    return result;
}

std::size_t headerBytes(const restinio::request_t &request)
{
    std::size_t bytes = request.header().request_target().size();
    request.header().for_each_field([&bytes](const restinio::http_header_field_t &field) {
        bytes += field.name().size() + field.value().size();
    });
    return bytes;
}

void refusePlainly(const units::Error &error, HttpResponder &responder)
{
    const int status = error.code == ResultCode::BodyTooLarge ? 413 : 431;
    responder.answer(status, {{"Content-Type", "text/plain"}},
                     units::describe(error) + ". The request did not run. Send less.\n");
}

} // namespace

class HttpServer::Impl
{
public:
    Impl(const HttpServerSettings &settings, HttpHandler handler)
        : bodyLimit_(settings.bodyLimit)
        , headerLimit_(settings.headerLimit)
        , headerCountLimit_(settings.headerCountLimit)
        , refuse_(settings.refuse ? settings.refuse : refusePlainly)
        , io_(static_cast<int>(settings.threads))
        , work_(asio::make_work_guard(io_))
        , port_(settings.port)
        , handler_(std::move(handler))
        , listener_(std::make_shared<ConnectionListener>())
        , server_(restinio::external_io_context(io_), [&](auto &s) { fill(s, settings); })
    {
        server_.open_sync();
        for (std::size_t i = 0; i < settings.threads; ++i)
            threads_.emplace_back([this] { io_.run(); });
    }

    ~Impl() { stop(); }

    std::size_t openAnswers() const { return openAnswers_; }

    void stop()
    {
        if (threads_.empty())
            return;
        io_.stop();
        for (std::thread &thread : threads_)
            thread.join();
        threads_.clear();
    }

private:
    template <typename Settings>
    void fill(Settings &target, const HttpServerSettings &settings)
    {
        restinio::incoming_http_msg_limits_t limits;
        limits.max_body_size(settings.bodyLimit * ReadBeyondLimit)
            .max_url_size(settings.headerLimit * ReadBeyondLimit)
            .max_field_value_size(settings.headerLimit * ReadBeyondLimit)
            .max_field_name_size(settings.headerLimit * ReadBeyondLimit)
            .max_field_count(settings.headerCountLimit * ReadBeyondLimit);
        target.address(settings.address)
            .port(settings.port)
            .incoming_http_msg_limits(limits)
            .max_parallel_connections(settings.connectionLimit)
            .max_pipelined_requests(PipelinedRequests)
            .read_next_http_message_timelimit(settings.readTimeout)
            .write_http_response_timelimit(settings.writeTimeout)
            .handle_request_timeout(HandlingTimeLimit)
            .connection_state_listener(listener_)
            .acceptor_options_setter([](auto &options) {
                options.set_option(asio::ip::tcp::acceptor::reuse_address(true));
            })
            .socket_options_setter(
                [](auto &options) { options.set_option(asio::ip::tcp::no_delay(true)); })
            .request_handler(
                [this](restinio::request_handle_t request) { return handle(std::move(request)); });
    }

    restinio::request_handling_status_t handle(restinio::request_handle_t request)
    {
        ++openAnswers_;
        std::shared_ptr<void> ticket(nullptr, [this](void *) { --openAnswers_; });
        const auto responder = std::make_shared<Responder>(asio::make_strand(io_), request, port_,
                                                           std::move(ticket));
        listener_->add(request->connection_id(), responder);
        if (const auto fault = overLimit(*request))
            refuse_(*fault, *responder);
        else
            handler_(read(request), responder);
        return restinio::request_accepted();
    }

    std::optional<units::Error> overLimit(const restinio::request_t &request) const
    {
        if (request.header().fields_count() > headerCountLimit_)
            return units::Error{ResultCode::HeaderTooLarge,
                                "there are more than " + std::to_string(headerCountLimit_)
                                    + " headers"};
        if (headerBytes(request) > headerLimit_)
            return units::Error{ResultCode::HeaderTooLarge,
                                "the target and the headers are larger than "
                                    + std::to_string(headerLimit_) + " bytes"};
        if (request.body().size() > bodyLimit_)
            return units::Error{ResultCode::BodyTooLarge,
                                "the body is larger than " + std::to_string(bodyLimit_) + " bytes"};
        return std::nullopt;
    }

    // Outlives the io context, whose handlers hold tickets.
    std::atomic<std::size_t> openAnswers_{0};
    const std::size_t bodyLimit_;
    const std::size_t headerLimit_;
    const std::size_t headerCountLimit_;
    const std::function<void(const units::Error &, HttpResponder &)> refuse_;
    asio::io_context io_;
    asio::executor_work_guard<asio::io_context::executor_type> work_;
    std::uint16_t port_;
    HttpHandler handler_;
    std::shared_ptr<ConnectionListener> listener_;
    restinio::http_server_t<ServerTraits> server_;
    std::vector<std::thread> threads_;
};

HttpServer::HttpServer(const HttpServerSettings &settings, HttpHandler handler)
    : impl_(std::make_unique<Impl>(settings, std::move(handler)))
{
}

HttpServer::~HttpServer() = default;

std::size_t HttpServer::openAnswers() const
{
    return impl_->openAnswers();
}

void HttpServer::stop()
{
    impl_->stop();
}

} // namespace monsoongrade::http
