#include <monsoongrade/gateway/quarantinepersister.h>

namespace monsoongrade::gateway {

namespace {

constexpr auto RoundInterval = std::chrono::seconds(1);
constexpr auto ReadRetryInterval = std::chrono::seconds(2);

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
        if (!crashes_.quarantineRemaining(request, now))
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
            if (!isSaved)
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
    timers_.after(RoundInterval, [this] { round(); });
}

} // namespace monsoongrade::gateway
