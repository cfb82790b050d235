#ifndef MONSOONGRADE_HTTPIO_RESPONSEWRITER_H
#define MONSOONGRADE_HTTPIO_RESPONSEWRITER_H

#include <monsoongrade/httpio/messagehead.h>

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace monsoongrade::httpio {

// The way back to the client of one request. Calls after the end, or after the client has gone,
// do nothing. Not thread-safe: it lives on the server's thread.
class ResponseWriter
{
public:
    virtual ~ResponseWriter() = default;
    // Sends a whole response.
    virtual void respond(int status, const Headers &headers, std::string_view body) = 0;
    // Starts a response in pieces; write() adds to it and end() completes it.
    virtual void begin(int status, const Headers &headers) = 0;
    virtual void write(std::string_view bytes) = 0;
    virtual void end() = 0;
    // Breaks the connection, so that the client sees that the response is not complete.
    virtual void abort() = 0;
    // Bytes given to write() that the system has not taken yet.
    virtual std::size_t unsentBytes() const = 0;
    // Called once if the client closes its connection before the end of the response.
    virtual void onClientDisconnected(std::function<void()> handler) = 0;
    // Called each time that all bytes given so far have been taken by the system.
    virtual void onDrained(std::function<void()> handler) = 0;
};

} // namespace monsoongrade::httpio

#endif // MONSOONGRADE_HTTPIO_RESPONSEWRITER_H
