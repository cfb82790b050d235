#include <monsoongrade/gateway/exchange.h>

#include <gateway/internal/milliseconds.h>

#include <string>

namespace monsoongrade::gateway {

using internal::inMilliseconds;

void Exchange::logPlaced(const EndpointAttempt &attempt, units::Duration placementTime) const
{
    observability::log(
        observability::LogLevel::Info, "request-placed",
        {{"request", metadata_.id.value()},
         {"route", route_->name.value()},
         {"pool", pool_.value()},
         {"endpoint", attempt.endpoint->registration.id.value()},
         {"incarnation", attempt.endpoint->registration.incarnation.value()},
         {"software", attempt.endpoint->registration.softwareVersion.value()},
         {"resumes", resumedRequest()},
         {"placed-by", state_.placement.placedBy(attempt.ticket)},
         {"tokens-to-read", attempt.tokensToRead},
         {"expected-first-event-ms", inMilliseconds(attempt.expectedFirstEvent)},
         {"cache-source", attempt.cacheSource.isEmpty() ? "none" : attempt.cacheSource.value()},
         {"tier", std::int64_t(admission_.tier.value())},
         {"placing-ms", inMilliseconds(placementTime)}});
}

void Exchange::logClientLeftBeforeSend() const
{
    state_.log.metrics.add("monsoongrade_gateway_clients_left_before_send_total");
    state_.log.write(
        observability::LogLevel::Info, "client-left-before-send",
        {{"request", metadata_.id.value()},
         {"endpoint", endpoint_->registration.id.value()},
         {"sends", sends_},
         {"received-ms-ago", inMilliseconds(state_.timers.now() - request_.receivedAt)}});
}

void Exchange::logAttemptFailed(const std::string &target, units::ResultCode reason)
{
    state_.log.metrics.add(
        "monsoongrade_gateway_attempts_failed_total",
        observability::label("reason", std::string(units::resultCodeName(reason))));
    state_.log.write(observability::LogLevel::Info, "attempt-failed",
                     {{"request", metadata_.id.value()},
                      {"endpoint", target},
                      {"reason", units::resultCodeName(reason)},
                      {"may-have-run", mayHaveRun_ ? "yes" : "no"},
                      {"sends", sends_},
                      {"left-ms", inMilliseconds(timeLeft())}});
}

void Exchange::logEnd(std::string_view outcome, int status, units::ResultCode reason) const
{
    const units::TimePoint now = state_.timers.now();
    const bool isLeaseProven = state_.lease.age(now) != units::Duration::max();
    observability::log(
        observability::LogLevel::Info, "request-ended",
        {{"request", metadata_.id.value()},
         {"outcome", outcome},
         {"status", status},
         {"code", int(reason)},
         {"reason", units::resultCodeName(reason)},
         {"pool", pool_.value()},
         {"endpoint", query_.tried.empty() ? "none" : query_.tried.back().value()},
         {"forwarded-to", triedHosts_.empty() ? "none" : triedHosts_.back()},
         {"sends", sends_},
         {"may-have-run", mayHaveRun_ ? "yes" : "no"},
         {"took-ms", inMilliseconds(now - request_.receivedAt)},
         {"first-event-ms",
          events_.firstEventAt() ? inMilliseconds(*events_.firstEventAt() - request_.receivedAt)
                                 : std::int64_t(-1)},
         {"longest-pause-ms", inMilliseconds(events_.longestPause())},
         {"left-ms", inMilliseconds(timeLeft())},
         {"queue-drains-ms", retryDelay_ ? inMilliseconds(*retryDelay_) : std::int64_t(-1)},
         {"configuration", table_ == nullptr ? std::int64_t(0) : table_->configuration().version},
         {"configuration-age-ms", isLeaseProven ? inMilliseconds(state_.lease.age(now)) : -1},
         {"live-hosts", state_.liveHosts}});
}

void Exchange::logCutOff() const
{
    state_.log.write(observability::LogLevel::Warning, "request-cut-off",
                     {{"request", metadata_.id.value()},
                      {"phase", phase()},
                      {"pool", pool_.value()},
                      {"endpoint", latestTarget()},
                      {"sends", sends_},
                      {"may-have-run", mayHaveRun_ ? "yes" : "no"},
                      {"took-ms", inMilliseconds(state_.timers.now() - request_.receivedAt)},
                      {"left-ms", inMilliseconds(timeLeft())}});
}

std::string_view Exchange::phase() const
{
    if (forwarded_ != nullptr)
        return "forwarded";
    if (responseBegun_)
        return "response-begun";
    if (channel_ != nullptr)
        return "sent";
    return isPlacing_ ? "waiting-for-endpoint" : "starting";
}

// The request that began the stream of which this attempt is to bring the rest; "none" for a new
// one.
std::string Exchange::resumedRequest() const
{
    if (!metadata_.resumes.isEmpty())
        return metadata_.resumes.value();
    return events_.lastId().empty() ? "none" : metadata_.id.value();
}

// The ids of the prompt parts that other requests may share; the last one is the request's own.
std::string Exchange::sharedPartIds() const
{
    constexpr std::size_t MaxLoggedParts = 16;
    std::string ids;
    for (std::size_t i = 0; i + 1 < metadata_.promptParts.size() && i < MaxLoggedParts; ++i)
        ids += (i == 0 ? "" : ",") + metadata_.promptParts[i].id;
    return ids.empty() ? "none" : ids;
}

std::string Exchange::latestTarget() const
{
    if (!triedHosts_.empty())
        return triedHosts_.back();
    return query_.tried.empty() ? "none" : query_.tried.back().value();
}

} // namespace monsoongrade::gateway
