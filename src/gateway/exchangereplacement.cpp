#include <monsoongrade/gateway/exchange.h>

#include <monsoongrade/routing/silencedecision.h>

#include <algorithm>
#include <utility>

namespace monsoongrade::gateway {

void Exchange::startSilenceTimer(units::Duration limit)
{
    state_.timers.cancel(silenceTimer_);
    silenceTimer_ = state_.timers.after(limit, [self = shared_from_this(), limit] {
        // While a slow client keeps the host from reading, nothing can be received.
        if (self->channel_ != nullptr && self->channel_.channel()->isReadingPaused())
            self->startSilenceTimer(limit);
        else
            self->onSilenceTimeout();
    });
}

void Exchange::onSilenceTimeout()
{
    if (finished_ || channel_ == nullptr)
        return;
    routing::SilentRequest silent;
    silent.mayBeSentAgain = canRetry();
    silent.hasReplacement = replacement_ != nullptr;
    silent.runsUnseen = query_.runsModel && route_->kind == routing::RouteKind::Idempotent
        && replacement_ != nullptr && replacement_->hasRequest();
    switch (routing::decideOnSilence(silent)) {
    case routing::SilenceStep::KeepWaiting:
        // Another endpoint or a retry may be available later.
        startSilenceTimer(routing::silenceLimit(*route_, firstByteSeen_));
        return;
    case routing::SilenceStep::ChangeReplacement:
        giveUpSilentReplacement();
        seekReplacement();
        return;
    case routing::SilenceStep::SeekReplacement:
        seekReplacement();
        return;
    case routing::SilenceStep::TakeReplacement:
        giveUpSilentEndpoint();
        return;
    }
}

// The silent endpoint may go on at any time, and keeps the request until another one has taken it.
void Exchange::seekReplacement()
{
    state_.timers.cancel(silenceTimer_);
    updateQuery();
    routing::PlacementQuery query = query_;
    // A replacement that is refused does not return.
    query.returnKey = {};
    ReplacementListener &listener = *this;
    replacement_ = std::make_shared<ReplacementAttempt>(
        state_, metadata_.id, route_->kind == routing::RouteKind::Stream, listener);
    replacement_->start(query, maxConnections());
}

void Exchange::onReplacementPlaced(units::Duration placementTime)
{
    state_.log.metrics.observe("monsoongrade_gateway_placing_seconds", "", placementTime);
    if (state_.log.mayWrite("request-placed"))
        logPlaced(replacement_->attempt(), placementTime);
}

void Exchange::onReplacementConnected()
{
    const auto self = shared_from_this();
    if (!reply_->isClientConnected()) {
        onClientDisconnected();
        return;
    }
    const EndpointAttempt &next = replacement_->attempt();
    const bool maySend = maySendTo(*next.endpoint) && !quarantineRemaining()
        && retryAllowance().trySpend(state_.retryLimit, state_.liveHosts, state_.timers.now());
    if (!maySend) {
        keepCurrentAttempt();
        return;
    }
    addTried(next.endpoint->registration.id);
    ++totalSends_;
    ++sends_;
    const std::string cacheSource = cacheSourceAddress(*next.endpoint, next.cacheSource);
    replacement_->send(requestHeadFor(*next.endpoint, cacheSource), request_.body);
    if (!cacheSource.empty())
        countCacheCopy();
    startSilenceTimer(routing::replacementSilenceLimit(*route_, query_.runsModel));
}

void Exchange::onReplacementAccepted(const httpio::MessageHead &head)
{
    const auto self = shared_from_this();
    giveUpSilentEndpoint();
    if (!finished_)
        onResponseHead(head);
}

void Exchange::onReplacementFailed(const FailedReplacement &failed)
{
    const auto self = shared_from_this();
    const bool wasSent = replacement_->attempt().wasSent;
    replacement_.reset();
    if (failed.endpoint != nullptr)
        addTried(failed.endpoint->registration.id);
    if (wasSent && !failed.countsAsSend)
        --sends_;
    mayHaveRun_ = mayHaveRun_ || failed.mayHaveRun;
    if (failed.mayHaveCrashed)
        recordCrash(*failed.endpoint);
    if (failed.isEndpointsFault)
        reportEndpointFailure(failed.endpoint, failed.ticket);
    if (failed.isEndpointsFault && !wasSent)
        ++unreachableEndpoints_;
    logAttemptFailed(failed.endpoint == nullptr ? "none" : failed.endpoint->registration.id.value(),
                     failed.reason);
    startSilenceTimer(routing::silenceLimit(*route_, firstByteSeen_));
}

void Exchange::giveUpSilentEndpoint()
{
    dropChannel();
    state_.reach.onSuspected(*endpoint_, sentAt_);
    // An endpoint that crashed together with its machine does not close its connections.
    if (endpoint_->lastReceivedAt < sentAt_)
        recordCrash(*endpoint_);
    onEndpointFailure();
    onAttemptFailed(units::ResultCode::EndpointSilent, true);
}

void Exchange::giveUpSilentReplacement()
{
    mayHaveRun_ = true;
    EndpointAttempt lost = replacement_->take();
    replacement_.reset();
    lost.channel.discard();
    state_.reach.onSuspected(*lost.endpoint, lost.sentAt);
    if (lost.endpoint->lastReceivedAt < lost.sentAt)
        recordCrash(*lost.endpoint);
    reportEndpointFailure(lost.endpoint, lost.ticket);
    logAttemptFailed(lost.endpoint->registration.id.value(), units::ResultCode::EndpointSilent);
}

// The replacement has been sent and becomes the current attempt, as there is no other any more.
void Exchange::takeReplacement()
{
    EndpointAttempt next = replacement_->take();
    replacement_.reset();
    endpoint_ = std::move(next.endpoint);
    ticket_ = next.ticket;
    tokensToRead_ = next.tokensToRead;
    expectedFirstEvent_ = next.expectedFirstEvent;
    cacheSource_ = std::move(next.cacheSource);
    channel_ = std::move(next.channel);
    channel_.channel()->setListener(*this);
    sentAt_ = next.sentAt;
    wasBrittleWhenSent_ = next.wasBrittleWhenSent;
    sentToVersion_ = std::move(next.sentToVersion);
    firstByteSeen_ = false;
    use_ = next.isSkipping ? ResponseUse::OfOtherRequest : ResponseUse::None;
    skippedBytes_ = 0;
    collected_.clear();
    events_.resume();
    // The latest one stands for the request in the log.
    std::vector<units::EndpointId> &tried = query_.tried;
    const units::EndpointId &id = endpoint_->registration.id;
    tried.erase(std::remove(tried.begin(), tried.end(), id), tried.end());
    tried.push_back(id);
    startSuspicionTimer();
    startSilenceTimer(routing::silenceLimit(*route_, false));
}

void Exchange::keepCurrentAttempt()
{
    if (replacement_ == nullptr)
        return;
    dropReplacement();
    startSilenceTimer(routing::silenceLimit(*route_, firstByteSeen_));
}

void Exchange::dropReplacement()
{
    const auto replacement = std::exchange(replacement_, nullptr);
    if (replacement == nullptr)
        return;
    mayHaveRun_ = mayHaveRun_ || replacement->attempt().wasSent;
    replacement->withdraw();
}

// Keeps the endpoint that has the request at the end.
void Exchange::addTried(const units::EndpointId &endpoint)
{
    std::vector<units::EndpointId> &tried = query_.tried;
    if (std::find(tried.begin(), tried.end(), endpoint) == tried.end())
        tried.insert(tried.empty() ? tried.end() : std::prev(tried.end()), endpoint);
}

} // namespace monsoongrade::gateway
