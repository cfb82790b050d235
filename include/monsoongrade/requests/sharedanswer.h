#ifndef MONSOONGRADE_REQUESTS_SHAREDANSWER_H
#define MONSOONGRADE_REQUESTS_SHAREDANSWER_H

#include <monsoongrade/http/httpresponder.h>
#include <monsoongrade/requests/flowend.h>
#include <monsoongrade/requests/requestaccount.h>

#include <memory>
#include <mutex>
#include <optional>
#include <vector>

namespace monsoongrade::requests {

// The one answer to all requests with the same idempotency key: takes it from the one run, gives
// it to every caller that attaches, and keeps it for later ones up to a size. Thread-safe.
class SharedAnswer : public http::HttpResponder, public std::enable_shared_from_this<SharedAnswer>
{
public:
    // The id is that of the request that runs.
    SharedAnswer(units::RequestId id, std::size_t mostKept);

    // The responder gets the answer from its start. The account, where there is one, ends with
    // the answer or when its caller leaves.
    void attach(const std::shared_ptr<http::HttpResponder> &responder,
                std::optional<RequestAccount> account);

    void answer(int status, http::Headers headers, std::string body) override;
    void begin(int status, http::Headers headers) override;
    // A caller that reads too slowly is cut off, visibly; the run and the others go on.
    void write(std::string bytes, std::function<void(std::size_t)> written) override;
    void end() override;
    void abort() override;
    // Never called: the run goes on when callers leave, since they may come back for its answer.
    void onGone(std::function<void()> handler) override;

    // How the run ended; called once, behind the last byte.
    void settle(const FlowEnd &flowEnd);
    // Drops the kept bytes; whoever attaches later is told that they are gone.
    void forget();
    std::size_t keptBytes() const;

private:
    struct Reader
    {
        std::shared_ptr<http::HttpResponder> responder;
        std::optional<RequestAccount> account;
        std::size_t waiting = 0;
        bool gone = false;
    };
    using ReaderPointer = std::shared_ptr<Reader>;

    void catchUp(const ReaderPointer &reader);
    void giveTo(const ReaderPointer &reader, const std::string &bytes);
    void left(Reader &reader, std::size_t bytes);
    void closeAccount(Reader &reader) const;
    void callerGone(const ReaderPointer &reader);

    const units::RequestId id_;
    const std::size_t mostKept_;
    mutable std::mutex mutex_;
    std::vector<ReaderPointer> readers_;
    int status_ = 0;
    http::Headers headers_;
    std::string body_;
    bool begun_ = false;
    bool whole_ = false;
    bool ended_ = false;
    bool aborted_ = false;
    bool forgotten_ = false;
    std::optional<FlowEnd> flowEnd_;
};

} // namespace monsoongrade::requests

#endif // MONSOONGRADE_REQUESTS_SHAREDANSWER_H
