#ifndef MONSOONGRADE_TESTS_ADAPTER_ANNOUNCINGWORKERS_H
#define MONSOONGRADE_TESTS_ADAPTER_ANNOUNCINGWORKERS_H

#include "gatewayfixture.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace monsoongrade::platform {

// A gateway with two workers of one service, one of which announces something about itself in its
// responses.
class AnnouncingWorkersFixture : public GatewayFixture
{
public:
    explicit AnnouncingWorkersFixture(const std::string &service)
        : service_(service)
    {
        store.put("config", "main", operatorConfiguration());
        for (int i = 0; i < 2; ++i) {
            peers_.push_back(std::make_unique<standins::RawPeer>(
                io, [this, i](standins::RawConnection &connection, const std::string &text, int) {
                    connection.write(responseOf(i, standins::headerIn(text, "Attempt-Id")));
                }));
            GatewayFixture::announce(idOf(i), service, peers_.back()->address());
        }
        start();
        REQUIRE(awaitServing(2));
    }

    // The worker that got the most requests makes the announcements from now on.
    void announceFromBusiest()
    {
        announcing_ = peers_[0]->requests() > peers_[1]->requests() ? 0 : 1;
    }
    int announcersRequests() const { return peers_[std::size_t(announcing_)]->requests(); }
    // Rewrites the announcer's entry in the store as ready.
    void listAnnouncer(std::int64_t born, int slots)
    {
        nlohmann::json entry = announcersEntry();
        entry["slots"] = slots;
        entry["born"] = born;
        putAnnouncersEntry(entry);
    }
    // The entry of the announcer as it was first, which has no time of its start.
    nlohmann::json announcersEntry() const
    {
        return {{"service", service_},
                {"address", peers_[std::size_t(announcing_)]->address()},
                {"zone", "z1"},
                {"slots", 8},
                {"state", "ready"}};
    }
    void putAnnouncersEntry(const nlohmann::json &entry)
    {
        store.put("servers", idOf(announcing_), entry);
    }
    // Waits until the gateway has read that the announcer started at this time.
    bool awaitListed(std::int64_t born)
    {
        return runUntil(
            [&] {
                return gateway->state().registry.find(
                           {units::EndpointId(idOf(announcing_)), routing::Incarnation(born)})
                    != nullptr;
            },
            std::chrono::seconds(10));
    }
    // The store is back, and lists the announcer with this start. Waits until the gateway knows.
    bool awaitStoreBack(std::int64_t born)
    {
        listAnnouncer(born, 8);
        store.setBehavior(standins::StoreBehavior::Normal);
        return awaitListed(born);
    }
    void unlistAnnouncer() { store.remove("servers", idOf(announcing_)); }
    void unlistOther() { store.remove("servers", idOf(1 - announcing_)); }

    // Sends requests one after the other for a time and returns the status of each.
    std::vector<int> callFor(std::chrono::milliseconds time, const std::string &path)
    {
        std::vector<int> statuses;
        const auto end = std::chrono::steady_clock::now() + time;
        while (std::chrono::steady_clock::now() < end) {
            const std::string number = std::to_string(++calls_);
            statuses.push_back(call(request("POST", path, "id" + number, "body " + number,
                                            path == "/stream/a" ? StreamHeaders : ""))
                                   ->status());
            runFor(std::chrono::milliseconds(20));
        }
        return statuses;
    }

    std::string announcement; // header lines
    bool rejectsRequests = false; // the announcer rejects all requests as not run

private:
    static std::string idOf(int worker) { return "e" + std::to_string(worker); }
    std::string responseOf(int worker, const std::string &requestId) const
    {
        if (worker != announcing_)
            return workerResponse(requestId, "fine");
        if (!rejectsRequests)
            return workerResponse(requestId, "fine", announcement);
        return "HTTP/1.1 503 Unavailable\r\nAttempt-Id: " + requestId + "\r\nNot-Executed: 1\r\n"
            + announcement + "Content-Length: 0\r\n\r\n";
    }

    std::string service_;
    std::vector<std::unique_ptr<standins::RawPeer>> peers_;
    int announcing_ = 0;
    int calls_ = 0;
};

inline bool allServed(const std::vector<int> &statuses)
{
    return std::count(statuses.begin(), statuses.end(), 200) == std::ptrdiff_t(statuses.size());
}

} // namespace monsoongrade::platform

#endif // MONSOONGRADE_TESTS_ADAPTER_ANNOUNCINGWORKERS_H
