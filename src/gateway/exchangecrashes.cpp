#include <monsoongrade/gateway/exchange.h>

#include <gateway/internal/httpstatus.h>
#include <gateway/internal/milliseconds.h>

#include <algorithm>

namespace monsoongrade::gateway {

namespace {

using namespace internal;

// A prompt part crashes an endpoint when the endpoint begins to write its answer. Streams that have
// run for longer only ran beside the one to blame.
constexpr auto MaxTimeToCrash = std::chrono::seconds(1);
// Bounds the work for a prompt of very many parts; its first ones are left out.
constexpr std::size_t MaxSharedParts = 32;

} // namespace

// A connection also breaks if only the network fails or if the endpoint has too many connections.
// Such a break counts as a crash until the endpoint responds again.
void Exchange::recordCrash(const routing::EndpointStatus &endpoint)
{
    if (state_.reach.isLost(pool_))
        return;
    const units::TimePoint now = state_.timers.now();
    const bool wasQuarantined = quarantineRemaining().has_value();
    state_.crashes.onCrash(identity(), routing::instanceOf(endpoint.registration), now);
    const bool hasJustBegun
        = !events_.firstEventAt() || now - *events_.firstEventAt() <= MaxTimeToCrash;
    if (hasJustBegun)
        recordCrashOfParts(endpoint);
    const auto left = quarantineRemaining();
    state_.log.write(observability::LogLevel::Warning, "endpoint-broke-under-request",
                     {{"request", metadata_.id.value()},
                      {"digest", routing::digestText(identity().digest)},
                      {"workspace", admission_.workspace.value()},
                      {"endpoint", endpoint.registration.id.value()},
                      {"parts", sharedPartIds()},
                      {"first-event-ago-ms",
                       events_.firstEventAt() ? inMilliseconds(now - *events_.firstEventAt())
                                              : std::int64_t(-1)}});
    if (left && !wasQuarantined)
        observability::log(observability::LogLevel::Warning, "request-quarantined",
                           {{"request", metadata_.id.value()},
                            {"digest", routing::digestText(identity().digest)},
                            {"workspace", admission_.workspace.value()},
                            {"part", quarantinedPart()},
                            {"for-ms", inMilliseconds(*left)}});
}

void Exchange::recordCrashOfParts(const routing::EndpointStatus &endpoint)
{
    int position = 0;
    for (const routing::RequestIdentity &part : sharedParts())
        state_.crashes.onCrash(part, routing::instanceOf(endpoint.registration),
                               state_.timers.now(), ++position);
}

void Exchange::recordCompletion()
{
    const units::TimePoint now = state_.timers.now();
    state_.crashes.onCompleted(identity(), now);
    // An endpoint that rejects a prompt has not begun to write an answer on its parts.
    if (!isSuccess(responseHead_.status))
        return;
    for (const routing::RequestIdentity &part : sharedParts())
        state_.crashes.onCompleted(part, now);
}

std::optional<units::Duration> Exchange::quarantineRemaining()
{
    if (state_.crashes.size() == 0)
        return std::nullopt;
    const units::TimePoint now = state_.timers.now();
    auto remaining = state_.crashes.quarantineRemaining(identity(), now);
    for (const routing::RequestIdentity &part : sharedParts())
        remaining = std::max(remaining, state_.crashes.quarantineRemaining(part, now));
    return remaining;
}

const routing::RequestIdentity &Exchange::identity()
{
    if (!identity_)
        identity_ = {admission_.workspace,
                     routing::digestOf(request_.head.method, metadata_.host, request_.head.target,
                                       *request_.body)};
    return *identity_;
}

// The prompt parts that other requests may share; the last one is the request's own.
const std::vector<routing::RequestIdentity> &Exchange::sharedParts()
{
    if (sharedParts_)
        return *sharedParts_;
    sharedParts_.emplace();
    const std::vector<routing::PromptPart> &parts = metadata_.promptParts;
    const std::size_t shared = parts.empty() ? 0 : parts.size() - 1;
    for (std::size_t i = shared - std::min(shared, MaxSharedParts); i < shared; ++i)
        sharedParts_->push_back(routing::identityOfPart(metadata_.model, parts[i].id));
    return *sharedParts_;
}

void Exchange::logQuarantined()
{
    const auto left = quarantineRemaining();
    state_.log.write(observability::LogLevel::Info, "quarantined-request-refused",
                     {{"request", metadata_.id.value()},
                      {"digest", routing::digestText(identity().digest)},
                      {"workspace", admission_.workspace.value()},
                      {"part", quarantinedPart()},
                      {"for-ms", left ? inMilliseconds(*left) : std::int64_t(-1)}});
}

// The id of the prompt part for which the request is quarantined; "none" if it is the request
// itself.
std::string Exchange::quarantinedPart()
{
    const units::TimePoint now = state_.timers.now();
    const std::vector<routing::RequestIdentity> &shared = sharedParts();
    for (std::size_t i = 0; i < shared.size(); ++i) {
        if (state_.crashes.quarantineRemaining(shared[i], now))
            return metadata_.promptParts[metadata_.promptParts.size() - 1 - shared.size() + i].id;
    }
    return "none";
}

} // namespace monsoongrade::gateway
