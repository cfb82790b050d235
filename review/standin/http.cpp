#include "http.h"

#include <algorithm>
#include <chrono>
#include <cstring>
#include <stdexcept>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

sockaddr_in addressOf(const std::string &ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(std::uint16_t(port));
    if (inet_pton(AF_INET, ip.c_str(), &address.sin_addr) != 1)
        throw std::runtime_error("not an IP: " + ip);
    return address;
}

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return char(std::tolower(c)); });
    return text;
}

std::string trimmed(const std::string &text)
{
    const std::size_t first = text.find_first_not_of(" \t");
    if (first == std::string::npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

// Parses the lines of a head without its blank line.
Message parseHead(const std::string &head)
{
    Message message;
    std::size_t at = 0;
    bool first = true;
    while (at <= head.size()) {
        const std::size_t end = std::min(head.find("\r\n", at), head.size());
        const std::string line = head.substr(at, end - at);
        at = end + 2;
        if (first) {
            first = false;
            const std::size_t space = line.find(' ');
            const std::string second
                = line.substr(space + 1, line.find(' ', space + 1) - space - 1);
            if (line.compare(0, 5, "HTTP/") == 0) {
                message.status = std::atoi(second.c_str());
            } else {
                message.method = line.substr(0, space);
                message.target = second;
            }
            continue;
        }
        const std::size_t colon = line.find(':');
        if (colon != std::string::npos)
            message.headers[lowerCase(line.substr(0, colon))] = trimmed(line.substr(colon + 1));
    }
    return message;
}

} // namespace

std::int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

std::int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

void sleepMs(std::int64_t milliseconds)
{
    if (milliseconds > 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

std::string Message::header(const std::string &name) const
{
    const auto found = headers.find(lowerCase(name));
    return found == headers.end() ? std::string() : found->second;
}

Connection::Connection(int socket)
    : socket_(socket)
{
    const int on = 1;
    setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

Connection::~Connection()
{
    close(socket_);
}

std::unique_ptr<Connection> Connection::open(const std::string &address, int limitMs)
{
    const std::size_t colon = address.rfind(':');
    const sockaddr_in to
        = addressOf(address.substr(0, colon), std::atoi(address.c_str() + colon + 1));
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (socket < 0)
        return nullptr;
    auto connection = std::make_unique<Connection>(socket);
    if (connect(socket, reinterpret_cast<const sockaddr *>(&to), sizeof(to)) != 0) {
        pollfd waiting{socket, POLLOUT, 0};
        int error = 0;
        socklen_t length = sizeof(error);
        if (errno != EINPROGRESS || poll(&waiting, 1, limitMs) <= 0
            || getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &length) != 0 || error != 0)
            return nullptr;
    }
    return connection;
}

bool Connection::send(const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto count = ::send(socket_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count > 0) {
            sent += std::size_t(count);
            continue;
        }
        pollfd waiting{socket_, POLLOUT, 0};
        if ((errno != EAGAIN && errno != EWOULDBLOCK) || poll(&waiting, 1, 5000) <= 0)
            return false;
    }
    return true;
}

bool Connection::fill(std::int64_t until)
{
    while (true) {
        pollfd waiting{socket_, POLLIN, 0};
        const std::int64_t left = std::max<std::int64_t>(until - nowMs(), 0);
        if (poll(&waiting, 1, int(left)) <= 0)
            return false;
        char bytes[16384];
        const auto count = recv(socket_, bytes, sizeof(bytes), 0);
        if (count > 0) {
            buffer_.append(bytes, std::size_t(count));
            return true;
        }
        if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
            continue;
        endedEarly_ = true;
        return false;
    }
}

std::optional<Message> Connection::read(int limitMs)
{
    const std::int64_t until = nowMs() + limitMs;
    std::size_t end = std::string::npos;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
        if (!fill(until))
            return std::nullopt;
    }
    Message message = parseHead(buffer_.substr(0, end));
    buffer_.erase(0, end + 4);
    if (lowerCase(message.header("transfer-encoding")) == "chunked") {
        while (true) {
            std::size_t line = std::string::npos;
            while ((line = buffer_.find("\r\n")) == std::string::npos) {
                if (!fill(until))
                    return std::nullopt;
            }
            const std::size_t length = std::strtoul(buffer_.c_str(), nullptr, 16);
            while (buffer_.size() < line + 2 + length + 2) {
                if (!fill(until))
                    return std::nullopt;
            }
            message.body.append(buffer_, line + 2, length);
            buffer_.erase(0, line + 2 + length + 2);
            if (length == 0)
                return message;
        }
    }
    const std::size_t length = std::strtoul(message.header("content-length").c_str(), nullptr, 10);
    while (buffer_.size() < length) {
        if (!fill(until))
            return std::nullopt;
    }
    message.body = buffer_.substr(0, length);
    buffer_.erase(0, length);
    return message;
}

void Connection::shutDown()
{
    shutdown(socket_, SHUT_RDWR);
}

Server::Server(const std::string &ip, int port, Handler handler)
    : ip_(ip)
    , listener_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    , handler_(std::move(handler))
{
    const int on = 1;
    setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in own = addressOf(ip, port);
    socklen_t length = sizeof(own);
    if (bind(listener_, reinterpret_cast<const sockaddr *>(&own), sizeof(own)) != 0
        || listen(listener_, 128) != 0
        || getsockname(listener_, reinterpret_cast<sockaddr *>(&own), &length) != 0)
        throw std::runtime_error("can't listen on " + ip + ":" + std::to_string(port) + ": "
                                 + std::strerror(errno));
    port_ = ntohs(own.sin_port);
    acceptor_ = std::thread([this] { accept(); });
}

Server::~Server()
{
    stop();
    for (std::thread &thread : threads_)
        thread.join();
}

std::string Server::address() const
{
    return ip_ + ":" + std::to_string(port_);
}

void Server::stop()
{
    {
        const std::lock_guard lock(mutex_);
        if (stopped_)
            return;
        stopped_ = true;
        for (Connection *connection : open_)
            connection->shutDown();
    }
    shutdown(listener_, SHUT_RDWR);
    acceptor_.join();
    close(listener_);
}

void Server::accept()
{
    while (true) {
        const int socket = accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        const std::lock_guard lock(mutex_);
        if (stopped_ || socket < 0) {
            if (socket >= 0)
                close(socket);
            if (stopped_)
                return;
            continue;
        }
        threads_.emplace_back([this, socket] { serve(socket); });
    }
}

void Server::serve(int socket)
{
    constexpr int IdleMs = 60000;
    Connection connection(socket);
    {
        const std::lock_guard lock(mutex_);
        if (stopped_)
            return;
        open_.insert(&connection);
    }
    while (const auto request = connection.read(IdleMs)) {
        if (!handler_(*request, connection))
            break;
    }
    const std::lock_guard lock(mutex_);
    open_.erase(&connection);
}

std::string encodeResponse(int status, const std::vector<std::string> &headers,
                           const std::string &body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    for (const std::string &header : headers)
        text += header + "\r\n";
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace review
