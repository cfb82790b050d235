#ifndef MONSOONGRADE_TESTS_ADAPTER_RELAYFIXTURE_H
#define MONSOONGRADE_TESTS_ADAPTER_RELAYFIXTURE_H

#include "gatewayfixture.h"

#include <platform/storerelay.h>
#include <platform/trafficdecoder.h>

#include <doctest/doctest.h>

#include <map>
#include <set>
#include <string>

namespace monsoongrade::platform {

struct RecordingListener : MirrorListener
{
    void onFullList(const std::vector<MirroredObject> &objects, units::TimePoint) override
    {
        ++lists;
        names.clear();
        usable.clear();
        for (const MirroredObject &object : objects)
            onChanged(object);
    }
    void onChanged(const MirroredObject &object) override
    {
        names.insert(object.name);
        usable.erase(object.name);
        if (decodeEndpoint(object.name, object.spec))
            usable.insert(object.name);
    }
    void onRemoved(const std::string &name, units::TimePoint) override
    {
        names.erase(name);
        usable.erase(name);
    }
    void onConfirmed(units::TimePoint at) override { confirmedUntil = at; }
    void onDivision(const std::optional<routing::FleetDivision> &newDivision) override
    {
        division = newDivision.value_or(routing::FleetDivision());
    }
    bool isDivided() const override { return division.cells() > 1; }

    int lists = 0;
    std::set<std::string> names;
    std::set<std::string> usable; // those that describe an endpoint
    routing::FleetDivision division;
    units::TimePoint confirmedUntil{};
};

inline const std::string FollowerIp = "10.0.0.2";

// Makes a mirror read from the source that the test chooses.
struct FixedSourceProvider : MirrorSourceProvider
{
    routing::StoreSource next(bool) override { return source; }
    asio::ip::tcp::endpoint addressOf(const routing::StoreSource &wanted) const override
    {
        return wanted.kind == routing::StoreSource::Kind::Host ? host : store;
    }
    void onResponse(const routing::StoreSource &, units::TimePoint) override { ++responses; }
    void onFailed(const routing::StoreSource &failed, const StoreResponse &,
                  units::TimePoint) override
    {
        ++failures;
        // As in production: the next source is the store.
        if (failed.kind == routing::StoreSource::Kind::Host)
            readFromStore();
    }
    void onLongList() override { ++longLists; }
    bool wasFleetWideOutage(units::Duration) const override { return true; }
    void readFromStore() { source = {}; }
    void readFromHost()
    {
        source = {};
        source.kind = routing::StoreSource::Kind::Host;
        source.host = "reader";
    }

    routing::StoreSource source;
    asio::ip::tcp::endpoint store;
    asio::ip::tcp::endpoint host;
    int responses = 0;
    int failures = 0;
    int longLists = 0;
};

// The store, a host that reads and relays it, and a host that reads from that one.
struct RelayFixture : GatewayFixture
{
    RelayFixture()
        : lease(std::chrono::seconds(5), std::chrono::milliseconds(1300))
        , client(io, timers, metrics)
        , relay(
              io, timers, {asio::ip::make_address_v4(settings.ip), RelayPort}, lease,
              [this] {
                  ++readRequests;
                  return reachesStoreSoon;
              },
              [this] { return division; })
        , idleRelay(
              io, timers, {asio::ip::make_address_v4(settings.ip), RelayPort + 1}, lease,
              [] { return false; }, [] { return routing::FleetDivision(); })
        , reader(client, timers,
                 {"servers", std::chrono::milliseconds(1500), std::chrono::milliseconds(1500),
                  std::chrono::milliseconds(700), "10.0.0.1"},
                 readerState, relay, readerSource)
        , follower(client, timers,
                   {"servers", std::chrono::milliseconds(1500), std::chrono::milliseconds(1500),
                    std::chrono::milliseconds(700), FollowerIp},
                   followerState, idleRelay, followerSource)
    {
        readerSource.store = store.address();
        followerSource.store = store.address();
        followerSource.host = {asio::ip::make_address_v4(settings.ip), RelayPort};
        followerSource.readFromHost();
    }
    void startMirrors()
    {
        lease.renew(clock.now());
        reader.start();
        REQUIRE(runUntil([&] { return !readerState.names.empty(); }));
        follower.start();
        REQUIRE(runUntil([&] { return followerState.names == readerState.names; }));
    }

    observability::Metrics metrics;
    routing::FreshnessLease lease;
    StoreClient client;
    int readRequests = 0;
    bool reachesStoreSoon = true;
    routing::FleetDivision division;
    StoreRelay relay;
    StoreRelay idleRelay;
    RecordingListener readerState;
    RecordingListener followerState;
    FixedSourceProvider readerSource;
    FixedSourceProvider followerSource;
    ObjectMirror reader;
    ObjectMirror follower;
};

} // namespace monsoongrade::platform

#endif // MONSOONGRADE_TESTS_ADAPTER_RELAYFIXTURE_H
