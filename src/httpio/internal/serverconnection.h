#ifndef MONSOONGRADE_HTTPIO_INTERNAL_SERVERCONNECTION_H
#define MONSOONGRADE_HTTPIO_INTERNAL_SERVERCONNECTION_H

#include <monsoongrade/httpio/messageparser.h>
#include <monsoongrade/httpio/server.h>
#include <monsoongrade/httpio/socketoptions.h>

#include <array>
#include <optional>
#include <string>

namespace monsoongrade::httpio {

// One client connection of a Server. Parses requests one after the other and completes the
// response to each before it parses the next. Keeps reading from the socket while a request is
// open, to notice that the client has disconnected.
class ServerConnection : public std::enable_shared_from_this<ServerConnection>,
                         private MessageListener
{
public:
    ServerConnection(Server &server, asio::ip::tcp::socket socket);

    void start();
    // Called before start(): the server has no room for this connection, so its first request is
    // refused as not run.
    void refuseRequests() { refuses_ = true; }
    // Closes if no request is open or arriving, as the server stops accepting.
    void closeIfIdle();
    // Closes an idle connection, unless bytes from its client are already there to be read.
    bool closeUnlessReadable();
    // Time of the last change to idle; only that of an idle connection is used.
    units::TimePoint idleSince() const { return idleSince_; }
    // Closes because the server is being destroyed.
    void closeForShutdown();

    // The functions from here to setOnDrained() are for the response writer of the request with
    // this number.
    bool isCurrent(std::uint64_t request) const
    {
        return open_ && requestOpen_ && request == requestNumber_;
    }
    void respond(int status, const Headers &headers, std::string_view body);
    void begin(int status, const Headers &headers);
    void write(std::string_view bytes);
    void end();
    void abort();
    bool isClientConnected() { return pendingInput(socket_) != PendingInput::EndOrError; }
    std::size_t unsentBytes() const { return pending_.size() + writing_.size() - writtenBytes_; }
    void setOnClientDisconnected(std::function<void()> handler)
    {
        onClientDisconnected_ = std::move(handler);
    }
    void setOnDrained(std::function<void()> handler) { onDrained_ = std::move(handler); }

private:
    // Each idle connection holds one buffer; most requests fit into it.
    static constexpr std::size_t ReadBufferBytes = 4 * 1024;

    void onHead(MessageHead head) override;
    void onBody(std::string_view bytes) override;
    void onEnd() override;

    void read();
    void onRead(const asio::error_code &error, std::size_t count);
    void parse();
    void rejectRequest(int status, const Headers &headers = {});
    void setIdle(bool idle);
    void becomeIdleIfUnused();
    void setTimeout();
    void onTimeout();
    bool isClientReading();
    void flush();
    void writeSome();
    void onWritten(const asio::error_code &error, std::size_t count);
    void finishRequest();
    void onClientClosed();
    void lingerAndClose();
    void close();
    bool keepsAlive() const;

    Server &server_;
    asio::ip::tcp::socket socket_;
    MessageParser parser_;
    std::array<char, ReadBufferBytes> buffer_{};
    std::string unparsed_;
    MessageHead head_;
    std::string body_;
    units::TimePoint receivedAt_;
    units::TimePoint idleSince_;
    Timers::Handle timeout_;
    std::function<void()> onClientDisconnected_;
    std::function<void()> onDrained_;
    std::string pending_; // to be written after writing_
    std::string writing_;
    std::size_t writtenBytes_ = 0; // of writing_
    // Bytes in the kernel at the last timeout; none if more have been written since.
    std::optional<std::size_t> queuedBytes_;
    units::HeldBytes heldBytes_; // in pending_ and writing_
    std::uint64_t requestNumber_ = 0;
    std::size_t bufferedBytes_ = 0;
    bool open_ = true;
    bool reading_ = false;
    bool isWriting_ = false;
    bool requestOpen_ = false;
    bool clientKeepsAlive_ = true;
    bool headRequest_ = false;
    bool closeAfterWrite_ = false;
    bool lingering_ = false;
    bool idle_ = false;
    bool refuses_ = false;
};

} // namespace monsoongrade::httpio

#endif // MONSOONGRADE_HTTPIO_INTERNAL_SERVERCONNECTION_H
