#ifndef MONSOONGRADE_SRC_REQUESTS_INTERNAL_COLLECTINGRESPONDER_H
#define MONSOONGRADE_SRC_REQUESTS_INTERNAL_COLLECTINGRESPONDER_H

#include <monsoongrade/http/httpresponder.h>
#include <monsoongrade/requests/keyholderclient.h>

namespace monsoongrade::requests::internal {

// Collects a whole answer for another router. Its owner serialises the calls.
class CollectingResponder : public http::HttpResponder
{
public:
    explicit CollectingResponder(KeyHolderClient::ReplyHandler handler)
        : handler_(std::move(handler))
    {
    }

    void answer(int status, http::Headers headers, std::string body) override
    {
        reply_.status = status;
        reply_.headers = std::move(headers);
        reply_.body = std::move(body);
        finish(HolderReply::Kind::Answered);
    }
    void begin(int status, http::Headers headers) override
    {
        reply_.status = status;
        reply_.headers = std::move(headers);
    }
    void write(std::string bytes, std::function<void(std::size_t)>) override
    {
        reply_.body += bytes;
    }
    void end() override { finish(HolderReply::Kind::Answered); }
    void abort() override { finish(HolderReply::Kind::Broken); }
    void onGone(std::function<void()>) override { }

private:
    void finish(HolderReply::Kind kind)
    {
        if (!handler_)
            return;
        reply_.kind = kind;
        std::exchange(handler_, nullptr)(reply_);
    }

    KeyHolderClient::ReplyHandler handler_;
    HolderReply reply_;
};

} // namespace monsoongrade::requests::internal

#endif // MONSOONGRADE_SRC_REQUESTS_INTERNAL_COLLECTINGRESPONDER_H
