#include <monsoongrade/httpio/messageparser.h>

#include <monsoongrade/httpsyntax/headersyntax.h>
#include <monsoongrade/httpsyntax/statuslinechecker.h>

#include <http_parser.h>

#include <algorithm>
#include <cstdint>
#include <limits>

namespace monsoongrade::httpio {

namespace {

constexpr int FirstFinalStatus = 200;
constexpr int StatusNoContent = 204;
constexpr int StatusNotModified = 304;

// http_parser accepts spaces in names. To another server, "Content-Length : 3" could be a length or
// a header of its own.
bool hasMalformedName(const Headers &headers)
{
    return std::any_of(headers.begin(), headers.end(),
                       [](const auto &header) { return !httpsyntax::isHeaderName(header.first); });
}

// Counted for each interim response, so that a server can't send them without end. Less than the
// shortest one has.
constexpr std::size_t InterimHeadBytes = 16;
// The content_length of http_parser for a message without a length.
constexpr std::uint64_t NoLength = std::numeric_limits<std::uint64_t>::max();

bool isRequestFramingAmbiguous(const MessageHead &head)
{
    std::size_t lengths = 0;
    std::size_t encodings = 0;
    bool onlyChunked = true;
    for (const auto &[name, value] : head.headers) {
        if (sameHeaderName(name, "content-length"))
            ++lengths;
        if (sameHeaderName(name, "transfer-encoding")) {
            ++encodings;
            onlyChunked = onlyChunked && sameHeaderName(value, "chunked");
        }
    }
    return lengths > 1 || encodings > 1 || (lengths > 0 && encodings > 0) || !onlyChunked;
}

} // namespace

class MessageParser::Impl
{
public:
    Impl(MessageKind kind, std::size_t maxHeadBytes, MessageListener &listener)
        : kind_(kind)
        , maxHeadBytes_(maxHeadBytes)
        , listener_(listener)
    {
        http_parser_settings_init(&settings_);
        settings_.on_message_begin = [](http_parser *p) {
            return self(p).onBegin();
        };
        settings_.on_url = [](http_parser *p, const char *at, std::size_t n) {
            self(p).head_.target.append(at, n);
            return self(p).countHeadBytes(n);
        };
        settings_.on_header_field = [](http_parser *p, const char *at, std::size_t n) {
            return self(p).onHeaderName({at, n});
        };
        settings_.on_header_value = [](http_parser *p, const char *at, std::size_t n) {
            return self(p).onHeaderValue({at, n});
        };
        settings_.on_headers_complete = [](http_parser *p) {
            return self(p).onHeadersComplete();
        };
        settings_.on_body = [](http_parser *p, const char *at, std::size_t n) {
            return self(p).onBody({at, n});
        };
        settings_.on_message_complete = [](http_parser *p) {
            return self(p).onMessageComplete();
        };
        http_parser_init(&parser_, kind == MessageKind::Request ? HTTP_REQUEST : HTTP_RESPONSE);
        parser_.data = this;
    }

    std::size_t feed(std::string_view bytes)
    {
        std::size_t taken = 0;
        messageEnded_ = false;
        while (taken < bytes.size() && !failed_ && !messageEnded_) {
            const std::string_view rest = bytes.substr(taken);
            if (kind_ == MessageKind::Response && !statusLine_.accept(rest)) {
                reject("status-line");
                break;
            }
            const std::size_t step
                = http_parser_execute(&parser_, &settings_, rest.data(), rest.size());
            taken += step;
            if (HTTP_PARSER_ERRNO(&parser_) == HPE_PAUSED)
                http_parser_pause(&parser_, 0);
            else if (HTTP_PARSER_ERRNO(&parser_) != HPE_OK)
                reject(http_errno_name(HTTP_PARSER_ERRNO(&parser_)));
            else if (parser_.upgrade)
                reject("upgrade");
        }
        return taken;
    }

    bool finishAtClose()
    {
        messageEnded_ = false;
        if (!endsAtClose())
            return false;
        http_parser_execute(&parser_, &settings_, nullptr, 0);
        return messageEnded_;
    }

    bool endsAtClose() const { return !failed_ && inside_ && headDone_ && endsAtClose_; }
    bool failed() const { return failed_; }
    std::string_view problem() const { return problem_; }
    bool headTooLarge() const { return headTooLarge_; }
    bool insideMessage() const { return inside_; }
    bool headComplete() const { return inside_ && headDone_; }
    void expectNoBody() { noBody_ = true; }
    void setMaxHeadBytes(std::size_t bytes) { maxHeadBytes_ = bytes; }

private:
    static Impl &self(http_parser *parser) { return *static_cast<Impl *>(parser->data); }

    // Keeps the first problem, as http_parser reports an error of its own after that of a callback.
    // Returns the callback's result that stops it.
    int reject(std::string_view problem)
    {
        failed_ = true;
        if (problem_.empty())
            problem_ = problem;
        return -1;
    }

    int onBegin()
    {
        head_ = {};
        inside_ = true;
        headDone_ = false;
        readingValue_ = false;
        return 0;
    }

    // Returns a callback's result.
    int countHeadBytes(std::size_t count)
    {
        headBytes_ += count;
        headTooLarge_ = headBytes_ > maxHeadBytes_;
        return headTooLarge_ ? reject("head-size") : 0;
    }

    int onHeaderName(std::string_view text)
    {
        // Also in interim responses and trailers: what isn't a header there may be the start of
        // bytes that belong to no response.
        if (kind_ == MessageKind::Response && !httpsyntax::hasOnlyTokenCharacters(text))
            return reject("header-name");
        if (headDone_) // trailers are not forwarded
            return 0;
        if (readingValue_ || head_.headers.empty())
            head_.headers.emplace_back();
        readingValue_ = false;
        head_.headers.back().first.append(text);
        return countHeadBytes(text.size());
    }

    int onHeaderValue(std::string_view text)
    {
        if (headDone_)
            return 0;
        readingValue_ = true;
        head_.headers.back().second.append(text);
        return countHeadBytes(text.size());
    }

    // http_parser skips the body if this returns 1 and stops with an error for other values.
    int onHeadersComplete()
    {
        if (isInterim())
            return 0;
        headDone_ = true;
        if (kind_ == MessageKind::Request && isRequestFramingAmbiguous(head_))
            return reject("request-framing");
        if (kind_ == MessageKind::Request && hasMalformedName(head_.headers))
            return reject("header-name");
        // http_parser leaves trailing space in the values. Framing is checked on the raw values, as
        // another server might not accept a length or an encoding with space after it.
        for (auto &header : head_.headers)
            header.second = std::string(trimmed(header.second));
        head_.status = int(parser_.status_code);
        if (kind_ == MessageKind::Request)
            head_.method = http_method_str(static_cast<http_method>(parser_.method));
        endsAtClose_ = isDelimitedByClose();
        head_.endsAtClose = endsAtClose_;
        head_.keepAlive = !head_.endsAtClose && http_should_keep_alive(&parser_) != 0;
        const bool hasLength = parser_.content_length != NoLength && parser_.content_length > 0;
        head_.hasBody
            = !noBody_ && (head_.endsAtClose || hasLength || (parser_.flags & F_CHUNKED) != 0);
        listener_.onHead(std::move(head_));
        head_ = {};
        const bool skipBody = noBody_;
        noBody_ = false;
        return skipBody ? 1 : 0;
    }

    int onBody(std::string_view bytes)
    {
        listener_.onBody(bytes);
        return 0;
    }

    int onMessageComplete()
    {
        inside_ = false;
        statusLine_.restart();
        if (isInterim()) {
            headDone_ = false;
            http_parser_pause(&parser_, 1);
            return countHeadBytes(InterimHeadBytes);
        }
        headDone_ = false;
        headBytes_ = 0;
        messageEnded_ = true;
        listener_.onEnd();
        http_parser_pause(&parser_, 1);
        return 0;
    }

    // True for a response whose body is delimited only by the close of the connection.
    bool isDelimitedByClose() const
    {
        const bool hasNoBody = noBody_ || parser_.status_code == StatusNoContent
            || parser_.status_code == StatusNotModified;
        return kind_ == MessageKind::Response && !hasNoBody && (parser_.flags & F_CHUNKED) == 0
            && parser_.content_length == NoLength;
    }

    bool isInterim() const
    {
        return kind_ == MessageKind::Response && parser_.status_code < FirstFinalStatus;
    }

    const MessageKind kind_;
    std::size_t maxHeadBytes_;
    MessageListener &listener_;
    bool failed_ = false;
    std::string_view problem_;
    bool headTooLarge_ = false;
    bool inside_ = false;
    bool headDone_ = false;
    bool noBody_ = false;
    httpsyntax::StatusLineChecker statusLine_;
    http_parser parser_{};
    http_parser_settings settings_{};
    MessageHead head_;
    std::size_t headBytes_ = 0;
    bool readingValue_ = false;
    bool messageEnded_ = false;
    bool endsAtClose_ = false;
};

MessageParser::MessageParser(MessageKind kind, std::size_t maxHeadBytes, MessageListener &listener)
    : impl_(std::make_unique<Impl>(kind, maxHeadBytes, listener))
{
}

MessageParser::~MessageParser() = default;

std::size_t MessageParser::feed(std::string_view bytes)
{
    return impl_->feed(bytes);
}

bool MessageParser::finishAtClose()
{
    return impl_->finishAtClose();
}

bool MessageParser::endsAtClose() const
{
    return impl_->endsAtClose();
}

bool MessageParser::failed() const
{
    return impl_->failed();
}

std::string_view MessageParser::problem() const
{
    return impl_->problem();
}

bool MessageParser::headTooLarge() const
{
    return impl_->headTooLarge();
}

bool MessageParser::insideMessage() const
{
    return impl_->insideMessage();
}

bool MessageParser::headComplete() const
{
    return impl_->headComplete();
}

void MessageParser::expectNoBody()
{
    impl_->expectNoBody();
}

void MessageParser::setMaxHeadBytes(std::size_t bytes)
{
    impl_->setMaxHeadBytes(bytes);
}

} // namespace monsoongrade::httpio
