#include <monsoongrade/requests/keyedrequests.h>

#include <requests/internal/collectingresponder.h>
#include <requests/internal/fingerprint.h>
#include <requests/internal/spreadretry.h>

#include <algorithm>

namespace monsoongrade::requests {

namespace {

using units::ResultCode;

// A larger answer is given to those who wait for it and not kept for later repeats.
constexpr std::size_t MaxKeptOfAnswer = 1024 * 1024;
constexpr auto MinRetryAfterOutage = std::chrono::seconds(2);
const char *const EarlierMayHaveRun
    = "An earlier request with this key may have run; keep the key when you send it again";

void count(const FlowServices &services, const std::string &what)
{
    services.metrics.add("monsoongrade_keyed_requests_total", observability::label("step", what));
}

} // namespace

KeyedRequests::KeyedRequests(const FlowServices &services, ClaimStore &claims,
                             KeyHolderClient &holders, BlockingWorker &worker,
                             const KeyTableLimits &limits)
    : services_(services)
    , claims_(claims)
    , holders_(holders)
    , worker_(worker)
    , table_(services.clock, limits)
    , startedAt_(services.clock.now())
{
}

void KeyedRequests::handle(ClassifiedRequest request, RequestAccount account,
                           const std::shared_ptr<http::HttpResponder> &responder)
{
    request.answerShared = true;
    const auto pending = std::make_shared<Pending>(std::move(request), std::move(account));
    pending->name = claimName(pending->request.workspace, pending->request.idempotencyKey);
    pending->fingerprint = internal::fingerprintOf(pending->request);
    Admission admission = Admission::Begin;
    const bool admitted = table_.withNew(pending->name, [&](KeyEntry &entry, bool isNew) {
        admission = admit(entry, isNew, *pending);
    });
    if (!admitted || admission == Admission::OtherRequest) {
        // Not through the table's answer: that one is another request's.
        pending->answer = std::make_shared<SharedAnswer>(pending->request.id, 0);
        pending->answer->attach(responder, std::nullopt);
        pending->name.clear();
    }
    if (!admitted) {
        giveUpNotRun(pending, ResultCode::TooManyRequestsOpen,
                     "this router remembers as many idempotency keys as it may; use another");
    } else if (admission == Admission::OtherRequest) {
        giveUpNotRun(pending, ResultCode::KeyReusedForOtherRequest,
                     "this idempotency key stands for a request with another path or body");
    } else if (admission == Admission::Attach) {
        count(services_, "attached");
        pending->account.record(DecisionKind::Attached, ResultCode::Ok,
                                "to the request that holds the key");
        pending->answer->attach(responder, std::move(pending->account));
    } else {
        pending->answer->attach(responder, std::nullopt);
        begin(pending);
    }
}

KeyedRequests::Admission KeyedRequests::admit(KeyEntry &entry, bool isNew, Pending &pending)
{
    if (!isNew && entry.fingerprint != pending.fingerprint)
        return Admission::OtherRequest;
    if (!isNew && entry.state != KeyState::NotRun) {
        pending.answer = entry.answer;
        return Admission::Attach;
    }
    entry.fingerprint = pending.fingerprint;
    entry.state = KeyState::Working;
    entry.answer = std::make_shared<SharedAnswer>(pending.request.id, MaxKeptOfAnswer);
    entry.attempts.push_back(pending.request.id);
    pending.answer = entry.answer;
    pending.claimTaken = entry.claimTaken && !entry.givenUp && claims_.maySend(entry.sendBefore);
    if (pending.claimTaken)
        pending.sendBefore = entry.sendBefore;
    return Admission::Begin;
}

void KeyedRequests::begin(const PendingPointer &pending)
{
    if (const auto issued = parseIssuedKey(pending->request.idempotencyKey))
        beginIssued(pending, *issued);
    else if (pending->claimTaken)
        run(pending);
    else
        postClaim(pending);
}

// The key's own time limit lets this router forget it: a key that is neither remembered nor in
// time may have run, so it is never run again.
void KeyedRequests::beginIssued(const PendingPointer &pending, const IssuedKey &key)
{
    if (key.router != services_.self) {
        askHolder(pending, key.router);
        return;
    }
    if (!isInTime(key)) {
        giveUpUnknown(pending, "this key's time is over; it may have been used before");
        return;
    }
    table_.with(pending->name, [&](KeyEntry *entry) {
        if (entry != nullptr)
            entry->keepUntil = startedAt_ + key.issuedAt + KeyLifetime;
    });
    run(pending);
}

bool KeyedRequests::isInTime(const IssuedKey &key) const
{
    const units::Duration age = services_.clock.now() - startedAt_ - key.issuedAt;
    return age >= units::Duration::zero() && age < KeyLifetime;
}

void KeyedRequests::postClaim(const PendingPointer &pending)
{
    if (claims_.isDown()) {
        giveUpNotRun(pending, ResultCode::PlatformUnavailable,
                     std::string("the platform's store is down, so the key can't be claimed. ")
                         + EarlierMayHaveRun);
        return;
    }
    if (!worker_.tryPost([this, pending] { claim(pending); }))
        giveUpNotRun(pending, ResultCode::PlatformUnavailable,
                     std::string("the platform's store is too slow to claim the key. ")
                         + EarlierMayHaveRun);
}

void KeyedRequests::claim(const PendingPointer &pending)
{
    const Claim mine = claimOf(*pending);
    const ClaimOutcome outcome = pending->takesOver
        ? claims_.takeOver(pending->name, pending->version, mine)
        : claims_.claim(pending->name, mine);
    pending->takesOver = false;
    switch (outcome.state) {
    case ClaimState::Taken:
        count(services_, "claimed");
        pending->sendBefore = outcome.sendBefore;
        table_.with(pending->name, [&outcome](KeyEntry *entry) {
            if (entry == nullptr)
                return;
            entry->claimTaken = true;
            entry->sendBefore = outcome.sendBefore;
            entry->givenUp = false;
        });
        run(pending);
        return;
    case ClaimState::HeldByOther:
        heldByOther(pending, outcome);
        return;
    case ClaimState::StoreDown:
        giveUpNotRun(pending, ResultCode::PlatformUnavailable,
                     std::string("the platform's store did not answer, so the key isn't claimed. ")
                         + EarlierMayHaveRun);
        return;
    }
}

void KeyedRequests::heldByOther(const PendingPointer &pending, const ClaimOutcome &outcome)
{
    if (outcome.holder.fingerprint != pending->fingerprint) {
        giveUpNotRun(pending, ResultCode::KeyReusedForOtherRequest,
                     "this idempotency key stands for a request with another path or body");
        return;
    }
    pending->version = outcome.version;
    if (outcome.holder.holder != services_.self) {
        askHolder(pending, outcome.holder.holder);
        return;
    }
    bool isOwnAttempt = false;
    table_.with(pending->name, [&](KeyEntry *entry) {
        if (entry == nullptr)
            return;
        const auto &attempts = entry->attempts;
        isOwnAttempt
            = std::find(attempts.begin(), attempts.end(), outcome.holder.attempt) != attempts.end();
    });
    if (!isOwnAttempt) {
        giveUpUnknown(pending, "a request with this key has run; its answer is no longer kept");
    } else {
        // An earlier attempt's claim, and that attempt ended without a run. It may be too old to
        // send under, or be given up to another router, so it is taken anew.
        pending->takesOver = true;
        postClaim(pending);
    }
}

void KeyedRequests::askHolder(const PendingPointer &pending, const units::DaemonId &holder)
{
    count(services_, "holder-asked");
    pending->account.record(DecisionKind::HolderAsked, ResultCode::Ok, holder.value());
    holders_.ask(
        {holder, pending->request.workspace, pending->request.idempotencyKey, pending->fingerprint},
        [this, pending](const HolderReply &reply) { holderReplied(pending, reply); });
}

void KeyedRequests::holderReplied(const PendingPointer &pending, const HolderReply &reply)
{
    switch (reply.kind) {
    case HolderReply::Kind::Answered:
        passOn(pending, reply);
        return;
    case HolderReply::Kind::GivenUp:
        pending->takesOver = true;
        postClaim(pending);
        return;
    case HolderReply::Kind::OtherRequest:
        giveUpNotRun(pending, ResultCode::KeyReusedForOtherRequest,
                     "this idempotency key stands for a request with another path or body");
        return;
    case HolderReply::Kind::NotUsed:
        giveUpNotRun(pending, ResultCode::NoRouteForRequest,
                     "only the router that handed this key out may run its request; send it there");
        return;
    case HolderReply::Kind::Broken:
        giveUpUnknown(pending, "the run of this key's request broke off");
        return;
    case HolderReply::Kind::Forgotten:
        giveUpUnknown(pending, "a request with this key may have run; its answer isn't kept");
        return;
    case HolderReply::Kind::Unreachable:
        giveUpUnknown(pending, "the router that holds this key is gone or does not reply");
        return;
    }
}

void KeyedRequests::run(const PendingPointer &pending)
{
    if (pending->sendBefore) {
        pending->request.maySend = [&claims = claims_, sendBefore = *pending->sendBefore] {
            return claims.maySend(sendBefore);
        };
    }
    std::make_shared<RequestFlow>(
        services_, std::move(pending->request), std::move(pending->account), pending->answer,
        [this, name = pending->name, answer = pending->answer](const FlowEnd &end) {
            const bool notRun = end.code != ResultCode::Ok && end.runState == RunState::NotRun;
            table_.ended(name, notRun ? KeyState::NotRun : KeyState::Finished);
            answer->settle(end);
        })
        ->start();
}

void KeyedRequests::passOn(const PendingPointer &pending, const HolderReply &reply)
{
    pending->answer->answer(reply.status, reply.headers, reply.body);
    pending->account.complete("answered by the key's holder");
    table_.erase(pending->name);
    pending->answer->settle({});
}

void KeyedRequests::giveUpNotRun(const PendingPointer &pending, ResultCode code,
                                 const std::string &message)
{
    Refusal refusal{pending->request.id, {code, message}, RunState::NotRun, {}};
    if (code != ResultCode::KeyReusedForOtherRequest && code != ResultCode::NoRouteForRequest)
        refusal.retryAfter = internal::spreadRetry(MinRetryAfterOutage, pending->request.id);
    giveUp(pending, refusal);
}

void KeyedRequests::giveUpUnknown(const PendingPointer &pending, const std::string &message)
{
    giveUp(pending,
           {pending->request.id, {ResultCode::OutcomeUnknown, message}, RunState::Unknown, {}});
}

// Only a router that may still find a claim of its own in the store has to remember the attempt;
// in all other cases the next request with the key asks anew.
void KeyedRequests::giveUp(const PendingPointer &pending, const Refusal &refusal)
{
    const ResultCode code = refusal.error.code;
    sendRefusal(*pending->answer, refusal);
    if (refusal.runState == RunState::NotRun)
        pending->account.refuse(code, refusal.error.message);
    else
        pending->account.fail(code, refusal.error.message);
    if (code == ResultCode::PlatformUnavailable)
        table_.ended(pending->name, KeyState::NotRun);
    else if (!pending->name.empty())
        table_.erase(pending->name);
    pending->answer->settle({code, refusal.runState});
}

units::IdempotencyKey KeyedRequests::issue()
{
    return toKey({services_.self, services_.clock.now() - startedAt_, nextKey_++});
}

void KeyedRequests::answerPeer(const HolderQuestion &question,
                               const KeyHolderClient::ReplyHandler &reply)
{
    const auto issued = parseIssuedKey(question.key);
    const bool isUnused = issued && issued->router == services_.self && isInTime(*issued);
    HolderReply known;
    std::shared_ptr<SharedAnswer> answer;
    table_.with(claimName(question.workspace, question.key), [&](KeyEntry *entry) {
        if (entry == nullptr) {
            known.kind = isUnused ? HolderReply::Kind::NotUsed : HolderReply::Kind::Forgotten;
        } else if (entry->fingerprint != question.fingerprint) {
            known.kind = HolderReply::Kind::OtherRequest;
        } else if (entry->state != KeyState::NotRun) {
            answer = entry->answer;
        } else if (issued) {
            known.kind = HolderReply::Kind::NotUsed;
        } else {
            entry->givenUp = true;
            known.kind = HolderReply::Kind::GivenUp;
        }
    });
    if (answer)
        answer->attach(std::make_shared<internal::CollectingResponder>(reply), std::nullopt);
    else
        reply(known);
}

Claim KeyedRequests::claimOf(const Pending &pending) const
{
    return {pending.request.id, services_.self, pending.fingerprint};
}

} // namespace monsoongrade::requests
