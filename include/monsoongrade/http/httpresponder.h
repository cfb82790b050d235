#ifndef MONSOONGRADE_HTTP_HTTPRESPONDER_H
#define MONSOONGRADE_HTTP_HTTPRESPONDER_H

#include <monsoongrade/http/httprequest.h>

#include <cstddef>
#include <functional>
#include <string>

namespace monsoongrade::http {

// The way back to one caller. Thread-safe. None of these functions calls a handler from within
// itself; handlers run on a thread of the server.
class HttpResponder
{
public:
    virtual ~HttpResponder() = default;
    // The whole answer at once.
    virtual void answer(int status, Headers headers, std::string body) = 0;
    // Starts an answer that is sent in pieces by write() and closed by end().
    virtual void begin(int status, Headers headers) = 0;
    // written(bytes) tells how many bytes have left for the caller.
    virtual void write(std::string bytes, std::function<void(std::size_t)> written) = 0;
    virtual void end() = 0;
    // Breaks the connection, so that the caller sees that the answer is not whole.
    virtual void abort() = 0;
    // The handler is called once when the caller's connection is gone before the answer's end.
    virtual void onGone(std::function<void()> handler) = 0;
};

} // namespace monsoongrade::http

#endif // MONSOONGRADE_HTTP_HTTPRESPONDER_H
