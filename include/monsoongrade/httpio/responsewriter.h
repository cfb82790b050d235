#ifndef MONSOONGRADE_HTTPIO_RESPONSEWRITER_H
#define MONSOONGRADE_HTTPIO_RESPONSEWRITER_H

#include <monsoongrade/httpio/messagehead.h>

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace monsoongrade::httpio {

// Writes the response to one request. Calls after the end of the response, or after the client has
// disconnected, do nothing. Not thread-safe: must be used on the server's thread.
class ResponseWriter
{
public:
    virtual ~ResponseWriter() = default;
    // Sends a complete response.
    virtual void respond(int status, const Headers &headers, std::string_view body) = 0;
    // Starts a streamed response; write() adds to it and end() completes it.
    virtual void begin(int status, const Headers &headers) = 0;
    virtual void write(std::string_view bytes) = 0;
    virtual void end() = 0;
    // Closes the connection, so that the client notices that the response is incomplete.
    virtual void abort() = 0;
    // Whether the client's end of the connection is open. Asks the kernel: the handler of
    // onClientDisconnected() may still be due on a busy host.
    virtual bool isClientConnected() const = 0;
    // Bytes passed to write() that the kernel has not accepted yet.
    virtual std::size_t unsentBytes() const = 0;
    // The handler is called once if the client disconnects before the end of the response.
    virtual void onClientDisconnected(std::function<void()> handler) = 0;
    // The handler is called each time the kernel has accepted all bytes written so far.
    virtual void onDrained(std::function<void()> handler) = 0;
};

} // namespace monsoongrade::httpio

#endif // MONSOONGRADE_HTTPIO_RESPONSEWRITER_H
