#ifndef MONSOONGRADE_HTTP_HTTPSERVER_H
#define MONSOONGRADE_HTTP_HTTPSERVER_H

#include <monsoongrade/http/httpresponder.h>
#include <monsoongrade/units/error.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace monsoongrade::http {

struct HttpServerSettings
{
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
    std::size_t threads = 1;
    // A larger body, up to twice as large, is refused with 1002; above that the connection is
    // closed.
    std::size_t bodyLimit = 8 * 1024 * 1024;
    // Bytes of the target and of all headers together, and how many headers there may be. More of
    // either, up to twice as much, is refused with 1010; above that the connection is closed,
    // since the library leaves no way to answer what it has not read.
    std::size_t headerLimit = 32 * 1024;
    std::size_t headerCountLimit = 100;
    // Further callers wait in the system's queue until a connection ends.
    std::size_t connectionLimit = 10000;
    // Longest time for a whole request to come in, and for a connection to stay idle.
    std::chrono::milliseconds readTimeout = std::chrono::seconds(60);
    // Longest time that one piece of an answer may wait for a slow reader.
    std::chrono::milliseconds writeTimeout = std::chrono::seconds(60);
    // Answers a request that is over one of these limits; empty is a plain numbered answer.
    std::function<void(const units::Error &, HttpResponder &)> refuse;
};

using HttpHandler = std::function<void(HttpRequest, std::shared_ptr<HttpResponder>)>;

// An HTTP/1.1 server with streamed answers. The handler is called on the server's threads.
class HttpServer
{
public:
    // Throws std::runtime_error where the address can't be listened on.
    HttpServer(const HttpServerSettings &settings, HttpHandler handler);
    ~HttpServer();

    // Answers that were begun or are still to come and have not left whole for their callers. A
    // process that ends while one is open cuts it off.
    std::size_t openAnswers() const;
    // Stops at once; open answers are cut. Callers drain first.
    void stop();

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace monsoongrade::http

#endif // MONSOONGRADE_HTTP_HTTPSERVER_H
