#ifndef MONSOONGRADE_SRC_RPC_INTERNAL_SLOTSERVICE_H
#define MONSOONGRADE_SRC_RPC_INTERNAL_SLOTSERVICE_H

#include <rpc/internal/cells.h>

#include <monsoongrade.capnp.h>

#include <memory>
#include <optional>

namespace monsoongrade::rpc::internal {

class SlotService;

// The sessions of all routers, at most one for each life of a router. On the RPC loop's thread
// only.
struct SlotSessions
{
    std::map<units::DaemonId, SlotService *> byRouter;
    std::uint64_t nextNumber = 1;
};

// The slots of one router's connection.
class SlotService final : public schema::SlotService::Server
{
public:
    SlotService(std::shared_ptr<Cells> cells, std::shared_ptr<SlotSessions> sessions,
                const units::Clock &clock, const units::DaemonId &router);
    // The connection is gone: a dead router releases nothing any more, and its slots would stay
    // taken for ever.
    ~SlotService();

    kj::Promise<void> ask(AskContext context) override;
    kj::Promise<void> release(ReleaseContext context) override;
    kj::Promise<void> adopt(AdoptContext context) override;
    kj::Promise<void> cancel(CancelContext context) override;
    kj::Promise<void> ping(PingContext context) override;
    kj::Promise<void> detach(DetachContext context) override;

    // Frees what the session holds; every later call fails, which makes the router connect
    // again and report what it still holds.
    void end();
    bool isUsed() const { return !ended_ && cells_->isUsing(session_); }
    bool isContended() const { return !ended_ && cells_->isContended(session_); }
    units::TimePoint lastHeard() const { return lastHeard_; }
    const units::DaemonId &router() const { return router_; }
    const units::DaemonId &session() const { return session_; }

    // Answers the ping that is kept open; the router sends the next one at once.
    void askForSign();
    // Since when; none once the router said anything.
    std::optional<units::TimePoint> signAskedAt() const { return signAskedAt_; }
    // For a scheduler that leaves.
    void answerPing();

private:
    void hear();
    void failIfEnded() const;

    std::shared_ptr<Cells> cells_;
    std::shared_ptr<SlotSessions> sessions_;
    const units::Clock &clock_;
    units::DaemonId router_;
    units::DaemonId session_;
    units::TimePoint lastHeard_;
    std::optional<units::TimePoint> signAskedAt_;
    bool pinged_ = false;
    kj::Own<kj::PromiseFulfiller<void>> openPing_;
    bool ended_ = false;
};

} // namespace monsoongrade::rpc::internal

#endif // MONSOONGRADE_SRC_RPC_INTERNAL_SLOTSERVICE_H
