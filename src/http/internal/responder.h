#ifndef MONSOONGRADE_SRC_HTTP_INTERNAL_RESPONDER_H
#define MONSOONGRADE_SRC_HTTP_INTERNAL_RESPONDER_H

#include <monsoongrade/http/httpresponder.h>

#include <asio.hpp>
#include <restinio/all.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace monsoongrade::http::internal {

// The way back to one caller over the HTTP library. All work runs on one strand, since the
// library's builders are not thread-safe.
class Responder : public HttpResponder, public std::enable_shared_from_this<Responder>
{
public:
    using Strand = asio::strand<asio::io_context::executor_type>;

    // The ticket counts the answer as open until it is destroyed.
    Responder(Strand strand, restinio::request_handle_t request, std::uint16_t localPort,
              std::shared_ptr<void> ticket);

    void answer(int status, Headers headers, std::string body) override;
    void begin(int status, Headers headers) override;
    void write(std::string bytes, std::function<void(std::size_t)> written) override;
    void end() override;
    void abort() override;
    void onGone(std::function<void()> handler) override;

    void connectionClosed();

private:
    using ChunkedBuilder = restinio::response_builder_t<restinio::chunked_output_t>;

    void sendWhole(int status, const Headers &headers, std::string body);
    void sendHead(int status, const Headers &headers);
    void sendPiece(std::string bytes, std::function<void(std::size_t)> written);
    void sendEnd();
    void breakOff();
    void finish();

    Strand strand_;
    restinio::request_handle_t request_;
    std::uint16_t localPort_;
    std::shared_ptr<void> ticket_;
    std::optional<ChunkedBuilder> builder_;
    std::function<void()> goneHandler_;
    bool ended_ = false;
    bool gone_ = false;
};

} // namespace monsoongrade::http::internal

#endif // MONSOONGRADE_SRC_HTTP_INTERNAL_RESPONDER_H
