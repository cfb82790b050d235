#include <rpc/internal/heldslots.h>

#include <rpc/internal/messages.h>

#include <algorithm>

namespace monsoongrade::rpc::internal {

HeldSlots::HeldSlots(kj::TaskSet &tasks)
    : tasks_(tasks)
{
}

void HeldSlots::add(const scheduling::SlotAsk &ask, const units::EndpointId &endpoint,
                    const LinkPointer &link, units::GrantId grant)
{
    auto held = std::make_shared<Held>();
    held->ask = ask;
    held->endpoint = endpoint;
    held->places.push_back({link, grant});
    ++link->held;
    held_[ask.request] = std::move(held);
}

void HeldSlots::release(const units::RequestId &request, scheduling::SlotRelease release)
{
    const auto found = held_.find(request);
    if (found == held_.end())
        return;
    const HeldPointer held = found->second;
    held_.erase(found);
    held->released = release;
    for (const Place &place : held->places) {
        const LinkPointer link = place.link.lock();
        if (!link || !place.grant)
            continue;
        --link->held;
        sendRelease(held->ask.pool, link, *place.grant, release);
    }
}

void HeldSlots::releaseUnheld(const units::PoolName &pool, const LinkPointer &link,
                              units::GrantId grant)
{
    scheduling::SlotRelease release;
    // As not run it would count against the endpoint, which was never called.
    release.outcome = scheduling::ReleaseOutcome::CallerLeft;
    sendRelease(pool, link, grant, release);
}

void HeldSlots::report(const units::PoolName &pool, const LinkPointer &link,
                       std::function<void()> done, std::function<void()> failed)
{
    const auto isOver = [](const Place &place) {
        const LinkPointer there = place.link.lock();
        return !there || !there->isOpen();
    };
    std::vector<HeldPointer> reported;
    for (const auto &entry : held_) {
        const HeldPointer &held = entry.second;
        if (held->ask.pool != pool)
            continue;
        auto &places = held->places;
        places.erase(std::remove_if(places.begin(), places.end(), isOver), places.end());
        if (std::none_of(places.begin(), places.end(),
                         [&](const Place &place) { return place.link.lock() == link; }))
            reported.push_back(held);
    }
    auto call = link->connection->slots().adoptRequest();
    call.setPool(pool.value());
    auto list = call.initHeld(static_cast<unsigned>(reported.size()));
    for (unsigned i = 0; i < reported.size(); ++i) {
        write(list[i].initAsk(), reported[i]->ask);
        list[i].setEndpoint(reported[i]->endpoint.value());
        reported[i]->places.push_back({link, std::nullopt});
        ++link->held;
    }
    tasks_.add(call.send()
                   .then([this, reported, link, done = std::move(done)](auto response) {
                       link->hear(std::chrono::steady_clock::now());
                       const auto grants = response.getGrants();
                       for (unsigned i = 0; i < reported.size() && i < grants.size(); ++i)
                           numbered(reported[i], link, units::GrantId(grants[i]));
                       done();
                   })
                   .catch_([failed = std::move(failed)](kj::Exception &&) { failed(); })
                   .attach(kj::heap<AwaitedCall>(link)));
}

void HeldSlots::numbered(const HeldPointer &held, const LinkPointer &link, units::GrantId grant)
{
    if (held->released) {
        --link->held;
        sendRelease(held->ask.pool, link, grant, *held->released);
        return;
    }
    for (Place &place : held->places) {
        if (place.link.lock() == link)
            place.grant = grant;
    }
}

void HeldSlots::sendRelease(const units::PoolName &pool, const LinkPointer &link,
                            units::GrantId grant, scheduling::SlotRelease release)
{
    // A connection that ended took all its grants with it.
    if (!link->isOpen())
        return;
    release.grant = grant;
    auto call = link->connection->slots().releaseRequest();
    call.setPool(pool.value());
    write(call.initRelease(), release);
    tasks_.add(awaited(link, call.send()));
}

} // namespace monsoongrade::rpc::internal
