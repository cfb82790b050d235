#include <monsoongrade/gateway/quarantinepersister.h>

#include <monsoongrade/observability/log.h>

#include <algorithm>

namespace monsoongrade::gateway {

namespace {

constexpr auto RoundInterval = std::chrono::seconds(1);
constexpr auto ReadRetryInterval = std::chrono::seconds(2);
constexpr auto CheckInterval = std::chrono::seconds(5);

} // namespace

QuarantinePersister::QuarantinePersister(httpio::Timers &timers, routing::CrashTracker &crashes,
                                         routing::QuarantineStore &store)
    : timers_(timers)
    , crashes_(crashes)
    , store_(store)
{
}

void QuarantinePersister::start()
{
    read();
    round();
    timers_.after(CheckInterval, [this] { check(); });
}

void QuarantinePersister::read()
{
    store_.readAll([this](const std::optional<std::vector<routing::CrashUpdate>> &kept) {
        if (kept)
            onRead(*kept);
        else
            timers_.after(ReadRetryInterval, [this] { read(); });
    });
}

void QuarantinePersister::onRead(const std::vector<routing::CrashUpdate> &kept)
{
    const units::TimePoint now = timers_.now();
    std::set<routing::RequestIdentity> requests;
    for (const routing::CrashUpdate &update : kept) {
        crashes_.receive(update, now);
        requests.insert(update.request);
    }
    for (const routing::RequestIdentity &request : requests) {
        if (crashes_.quarantineRemaining(request, now))
            stored_.insert(request);
        else
            store_.remove(request); // the quarantine has expired
    }
}

void QuarantinePersister::round()
{
    const units::TimePoint now = timers_.now();
    for (const routing::RequestIdentity &request : crashes_.locallyQuarantined(now)) {
        if (!saved_.insert(request).second)
            continue;
        store_.save(request, crashes_.crashesOf(request, now), [this, request](bool isSaved) {
            if (isSaved)
                stored_.insert(request);
            else
                saved_.erase(request); // retried in the next round
        });
    }
    for (auto request = saved_.begin(); request != saved_.end();) {
        if (crashes_.quarantineRemaining(*request, now)) {
            ++request;
            continue;
        }
        store_.remove(*request);
        request = saved_.erase(request);
    }
    dropEnded();
    timers_.after(RoundInterval, [this] { round(); });
}

void QuarantinePersister::dropEnded()
{
    const units::TimePoint now = timers_.now();
    for (auto request = stored_.begin(); request != stored_.end();) {
        const bool isInForce = crashes_.quarantineRemaining(*request, now).has_value();
        request = isInForce ? std::next(request) : stored_.erase(request);
    }
}

void QuarantinePersister::check()
{
    timers_.after(CheckInterval, [this] { check(); });
    if (stored_.empty())
        return;
    store_.readAll([this](const std::optional<std::vector<routing::CrashUpdate>> &kept) {
        if (kept)
            checkEach(*kept);
    });
}

// The list may be older than the request in it, so one that is missing is looked for by itself.
void QuarantinePersister::checkEach(const std::vector<routing::CrashUpdate> &kept)
{
    const std::set<routing::RequestIdentity> expected = stored_;
    for (const routing::RequestIdentity &request : expected) {
        const bool isListed
            = std::any_of(kept.begin(), kept.end(), [&](const routing::CrashUpdate &update) {
                  return update.request == request;
              });
        if (!isListed)
            store_.find(request, [this, request](std::optional<bool> isStored) {
                if (isStored == false)
                    liftIfGone(request);
            });
    }
}

void QuarantinePersister::liftIfGone(const routing::RequestIdentity &request)
{
    if (stored_.erase(request) == 0)
        return; // it ended meanwhile
    saved_.erase(request);
    crashes_.lift(request, timers_.now());
    observability::log(observability::LogLevel::Info, "quarantine-lifted",
                       {{"digest", routing::digestText(request.digest)},
                        {"workspace", request.workspace.value()}});
}

} // namespace monsoongrade::gateway
