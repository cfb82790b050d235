#ifndef MONSOONGRADE_HTTPIO_MESSAGEPARSER_H
#define MONSOONGRADE_HTTPIO_MESSAGEPARSER_H

#include <monsoongrade/httpio/messagehead.h>

#include <cstddef>
#include <memory>
#include <string_view>

namespace monsoongrade::httpio {

// Receives the parts of the messages that a MessageParser reads.
class MessageListener
{
public:
    virtual ~MessageListener() = default;
    virtual void onHead(MessageHead head) = 0;
    virtual void onBody(std::string_view bytes) = 0;
    virtual void onEnd() = 0;
};

enum class MessageKind { Request, Response };

// Reads HTTP/1.1 messages from bytes as they arrive. Interim responses (1xx) are skipped. It
// rejects what two parsers could frame differently, such as a request with both a length and
// chunks: a request hidden in the body of another would else reach an endpoint.
class MessageParser
{
public:
    MessageParser(MessageKind kind, std::size_t maxHeadBytes, MessageListener &listener);
    ~MessageParser();
    MessageParser(const MessageParser &) = delete;
    MessageParser &operator=(const MessageParser &) = delete;

    // Takes bytes up to the end of the current message and returns how many it took. The rest
    // belongs to the next message, which is read only by another call.
    std::size_t feed(std::string_view bytes);

    // The peer closed in order. Returns true if that completes a response without length.
    bool finishAtClose();

    bool failed() const;
    // The head grew over the limit; failed() is true as well.
    bool headTooLarge() const;
    // Some bytes of a message have arrived, but not all of them.
    bool insideMessage() const;
    // The head of the current message has been read whole.
    bool headComplete() const;
    // The next response has no body, whatever its headers say.
    void expectNoBody();
    void setMaxHeadBytes(std::size_t bytes);

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace monsoongrade::httpio

#endif // MONSOONGRADE_HTTPIO_MESSAGEPARSER_H
