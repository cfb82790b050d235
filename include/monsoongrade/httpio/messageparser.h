#ifndef MONSOONGRADE_HTTPIO_MESSAGEPARSER_H
#define MONSOONGRADE_HTTPIO_MESSAGEPARSER_H

#include <monsoongrade/httpio/messagehead.h>

#include <cstddef>
#include <memory>
#include <string_view>

namespace monsoongrade::httpio {

// Receives the parts of each message from a MessageParser.
class MessageListener
{
public:
    virtual ~MessageListener() = default;
    virtual void onHead(MessageHead head) = 0;
    virtual void onBody(std::string_view bytes) = 0;
    virtual void onEnd() = 0;
};

enum class MessageKind { Request, Response };

// Incremental parser of HTTP/1.1 messages. Skips interim responses (1xx). Rejects requests with
// ambiguous framing, such as both a length and chunks, to prevent request smuggling: a request
// hidden in the body of another could otherwise reach an endpoint. Rejects responses with a
// malformed status line or header name, which may come from a faulty server, in interim responses
// and trailers as well.
class MessageParser
{
public:
    MessageParser(MessageKind kind, std::size_t maxHeadBytes, MessageListener &listener);
    ~MessageParser();
    MessageParser(const MessageParser &) = delete;
    MessageParser &operator=(const MessageParser &) = delete;

    // Consumes bytes up to the end of the current message and returns their number. The rest
    // belongs to the next message, which takes another call.
    std::size_t feed(std::string_view bytes);

    // The current message is a response without a length, whose head is complete: an orderly close
    // by the peer completes it.
    bool endsAtClose() const;
    // Handles an orderly close by the peer. Returns true if that completes a response without
    // length.
    bool finishAtClose();

    bool failed() const;
    // What made failed() true, as a short name for logs: "status-line", "header-name", "head-size",
    // "request-framing", "upgrade", or http_parser's name of its error. Empty if nothing did.
    std::string_view problem() const;
    // The head exceeded the limit; failed() is true as well.
    bool headTooLarge() const;
    // A message has arrived in part.
    bool insideMessage() const;
    // The head of the current message is complete.
    bool headComplete() const;
    // The next response has no body, regardless of its headers.
    void expectNoBody();
    void setMaxHeadBytes(std::size_t bytes);

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace monsoongrade::httpio

#endif // MONSOONGRADE_HTTPIO_MESSAGEPARSER_H
