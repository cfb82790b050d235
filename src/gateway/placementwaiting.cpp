#include <monsoongrade/gateway/placementservice.h>

#include <gateway/internal/milliseconds.h>
#include <gateway/internal/placementmessages.h>

#include <algorithm>
#include <map>

namespace monsoongrade::gateway {

namespace {

// Interval for placing queued requests. Trying to place them at every event would use all CPU time
// in a burst.
constexpr auto WaitingInterval = std::chrono::milliseconds(4);
// The same if no event announces that there is room: a rate limit has another turn, or a request
// has waited for too long.
constexpr auto IdleWaitingInterval = std::chrono::milliseconds(20);
// Interval for checking that the coordinator still has this host's queued requests. They share
// datagrams, because with one query for each the coordinator could not answer other hosts in time.
constexpr auto WaitingCheckInterval = std::chrono::milliseconds(250);
// Entries have about 7 bytes in packed encoding.
constexpr std::size_t MaxNumbersInDatagram = 150;

} // namespace

using namespace internal;

void PlacementService::scheduleWaitingCheck()
{
    if (isCheckScheduled_)
        return;
    isCheckScheduled_ = true;
    timers_.after(WaitingCheckInterval, [this] {
        isCheckScheduled_ = false;
        checkWaiting();
    });
}

// Guards against the loss of an answer to a queued request, or of the coordinator and its queue.
void PlacementService::checkWaiting()
{
    std::map<std::string, std::vector<std::uint64_t>> numbers;
    for (const auto &[number, pending] : pending_) {
        if (pending.isWaiting)
            numbers[pending.coordinator].push_back(number);
    }
    for (const auto &[host, ofHost] : numbers) {
        for (std::size_t begin = 0; begin < ofHost.size(); begin += MaxNumbersInDatagram) {
            const std::size_t end = std::min(begin + MaxNumbersInDatagram, ofHost.size());
            socket_.send(host,
                         encode(StillWaitingMessage{{ofHost.begin() + std::ptrdiff_t(begin),
                                                     ofHost.begin() + std::ptrdiff_t(end)}}));
        }
        httpio::Timers::Handle &timeout = openChecks_[host];
        timers_.cancel(timeout);
        const units::TimePoint sentAt = timers_.now();
        timeout = timers_.after(AnswerTimeout,
                                [this, host = host, sentAt] { onCheckTimeout(host, sentAt); });
    }
    if (!numbers.empty())
        scheduleWaitingCheck();
}

void PlacementService::onCheckTimeout(const std::string &host, units::TimePoint sentAt)
{
    openChecks_.erase(host);
    if (!isLostAfterTimeout(host, sentAt)) {
        checkWaiting();
        return;
    }
    std::vector<std::uint64_t> numbers;
    for (const auto &[number, pending] : pending_) {
        if (pending.isWaiting && pending.coordinator == host)
            numbers.push_back(number);
    }
    onMessage(host, NotWaitingMessage{std::move(numbers)});
}

void PlacementService::onMessage(const std::string &host, const StillWaitingMessage &message)
{
    NotWaitingMessage reply;
    for (const std::uint64_t number : message.numbers) {
        const routing::PlacementTicket ticket{host, number};
        if (placer_.isWaiting(ticket))
            continue;
        if (const auto choice = placer_.choiceOf(ticket))
            socket_.send(host, encode(answerFor(number, *choice)));
        else
            reply.numbers.push_back(number);
    }
    socket_.send(host, encode(reply));
}

void PlacementService::onMessage(const std::string &host, const NotWaitingMessage &message)
{
    selector_.onAnswer(host);
    timers_.cancel(openChecks_[host]);
    for (const std::uint64_t number : message.numbers) {
        const auto found = pending_.find(number);
        if (found == pending_.end() || !found->second.isWaiting
            || found->second.coordinator != host)
            continue; // answered meanwhile
        PendingQuery again = std::move(found->second);
        pending_.erase(found);
        sendOrPlace(number, std::move(again));
    }
}

void PlacementService::noteRefusal(const routing::PlacementTicket &ticket,
                                   const routing::PlacementChoice &choice)
{
    if (choice.unavailable)
        logWithoutEndpoint(ticket, *choice.unavailable);
    if (!choice.refusal)
        return;
    const routing::queueing::RefusalDetails &refused = *choice.refusal;
    if (refused.isOverShare)
        metrics_.add("monsoongrade_gateway_refused_over_share_total");
    log_.write(observability::LogLevel::Info, "placement-refused",
               {{"host", ticket.host},
                {"number", ticket.number},
                {"pool", refused.pool.value()},
                {"tier", std::int64_t(refused.tier.value())},
                {"workspace", refused.workspace.value()},
                {"over-share", refused.isOverShare ? "yes" : "no"},
                {"return-ms", inMilliseconds(refused.returnIn)},
                {"booked", refused.isBooked ? "yes" : "no"},
                {"held-ms", inMilliseconds(refused.heldFor)},
                {"ahead-tokens", refused.aheadTokens},
                {"booked-tokens", refused.bookedTokens},
                {"tokens-per-ms", refused.tokensPerMs}});
}

void PlacementService::logWithoutEndpoint(const routing::PlacementTicket &ticket,
                                          const routing::UnavailableEndpoints &unavailable)
{
    log_.write(observability::LogLevel::Info, "placement-without-endpoint",
               {{"host", ticket.host},
                {"number", ticket.number},
                {"pool", unavailable.pool.value()},
                {"tier", std::int64_t(unavailable.tier.value())},
                {"excluded", unavailable.excluded},
                {"suspended", unavailable.suspended},
                {"rate-limited", unavailable.rateLimited},
                {"without-slot", unavailable.withoutSlot}});
}

// Called when an endpoint may have become free for queued requests.
void PlacementService::schedulePlaceWaiting()
{
    placeWaitingWithin(WaitingInterval);
}

void PlacementService::placeWaitingWithin(units::Duration delay)
{
    const units::TimePoint at = timers_.now() + delay;
    if (!placer_.hasWaiting() || (placingAt_ && *placingAt_ <= at))
        return;
    timers_.cancel(placingTimer_);
    placingAt_ = at;
    placingTimer_ = timers_.at(at, [this] {
        placingAt_.reset();
        placeWaiting();
        placeWaitingWithin(IdleWaitingInterval);
    });
}

void PlacementService::placeWaiting()
{
    for (const auto &[ticket, choice] : placer_.placeWaiting(registry_, timers_.now())) {
        noteRefusal(ticket, choice);
        if (ticket.host != settings_.ownIp) {
            socket_.send(ticket.host, encode(answerFor(ticket.number, choice)));
            continue;
        }
        const auto own = localWaiting_.find(ticket.number);
        if (own == localWaiting_.end())
            continue;
        const PlacedHandler placed = std::move(own->second);
        localWaiting_.erase(own);
        placed(ticket, choice);
    }
}

} // namespace monsoongrade::gateway
