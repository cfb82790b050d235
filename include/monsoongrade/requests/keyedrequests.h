#ifndef MONSOONGRADE_REQUESTS_KEYEDREQUESTS_H
#define MONSOONGRADE_REQUESTS_KEYEDREQUESTS_H

#include <monsoongrade/requests/blockingworker.h>
#include <monsoongrade/requests/claimstore.h>
#include <monsoongrade/requests/issuedkey.h>
#include <monsoongrade/requests/keyholderclient.h>
#include <monsoongrade/requests/keytable.h>
#include <monsoongrade/requests/requestflow.h>

#include <atomic>

namespace monsoongrade::requests {

// Runs requests that carry an idempotency key and must run at most once. The right to run is a
// claim in the platform's store, or, for a key that this router handed out, its own memory. A
// repeat is attached to the running or kept answer; at another router the holder is asked. Where
// nobody can tell what became of a key, the caller is told so and nothing runs. Thread-safe.
class KeyedRequests
{
public:
    // All must outlive the requests. The worker runs the calls to the store, which block.
    KeyedRequests(const FlowServices &services, ClaimStore &claims, KeyHolderClient &holders,
                  BlockingWorker &worker, const KeyTableLimits &limits);

    // The account is accepted already.
    void handle(ClassifiedRequest request, RequestAccount account,
                const std::shared_ptr<http::HttpResponder> &responder);

    // A key that only this router will ever run; it may first be used within KeyLifetime.
    units::IdempotencyKey issue();
    static constexpr units::Duration KeyLifetime = std::chrono::minutes(2);

    // Answers another router's question, at once or when the run ends. The handler must not call
    // this object.
    void answerPeer(const HolderQuestion &question, const KeyHolderClient::ReplyHandler &reply);

private:
    // A request on its way to its run.
    struct Pending
    {
        Pending(ClassifiedRequest classified, RequestAccount accepted)
            : request(std::move(classified))
            , account(std::move(accepted))
        {
        }

        ClassifiedRequest request;
        RequestAccount account;
        std::string name;
        std::string fingerprint;
        std::shared_ptr<SharedAnswer> answer;
        bool claimTaken = false;
        // Set where the request runs under a claim: see ClaimOutcome.
        std::optional<units::TimePoint> sendBefore;
        // Set where another router was asked and said that it gave the claim up.
        bool takesOver = false;
        platform::ObjectVersion version;
    };
    using PendingPointer = std::shared_ptr<Pending>;
    // What to do with a request whose key is in the table.
    enum class Admission { Begin, Attach, OtherRequest };

    Admission admit(KeyEntry &entry, bool isNew, Pending &pending);
    void begin(const PendingPointer &pending);
    void beginIssued(const PendingPointer &pending, const IssuedKey &key);
    bool isInTime(const IssuedKey &key) const;
    void postClaim(const PendingPointer &pending);
    void claim(const PendingPointer &pending);
    void heldByOther(const PendingPointer &pending, const ClaimOutcome &outcome);
    void askHolder(const PendingPointer &pending, const units::DaemonId &holder);
    void holderReplied(const PendingPointer &pending, const HolderReply &reply);
    void run(const PendingPointer &pending);
    // Ends the request without a run by this router.
    void giveUp(const PendingPointer &pending, const Refusal &refusal);
    void giveUpNotRun(const PendingPointer &pending, units::ResultCode code,
                      const std::string &message);
    void giveUpUnknown(const PendingPointer &pending, const std::string &message);
    void passOn(const PendingPointer &pending, const HolderReply &reply);
    Claim claimOf(const Pending &pending) const;

    const FlowServices services_;
    ClaimStore &claims_;
    KeyHolderClient &holders_;
    BlockingWorker &worker_;
    KeyTable table_;
    const units::TimePoint startedAt_;
    std::atomic<std::uint64_t> nextKey_{1};
};

} // namespace monsoongrade::requests

#endif // MONSOONGRADE_REQUESTS_KEYEDREQUESTS_H
