#include "announcingworkers.h"

#include <array>
#include <memory>
#include <string>
#include <vector>

using namespace monsoongrade;
using namespace monsoongrade::platform;
using std::chrono::milliseconds;

namespace {

constexpr int RejectionsPerSecond = 2;
constexpr int Seconds = 3;

// Rejections that the announcer makes while callers keep coming.
int rejections(AnnouncingWorkersFixture &fixture, const std::string &path)
{
    const int before = fixture.announcersRequests();
    fixture.callFor(milliseconds(Seconds * 1000), path);
    return fixture.announcersRequests() - before;
}

// Rejections of the only endpoint of a service that announces this and, from some moment on, has no
// room for any request.
int rejectionsOfOnlyEndpoint(const std::string &announcement, const std::string &service,
                             const std::string &path)
{
    AnnouncingWorkersFixture fixture(service);
    fixture.announcement = announcement;
    fixture.callFor(milliseconds(200), path);
    fixture.announceFromBusiest();
    fixture.unlistOther();
    fixture.callFor(milliseconds(300), path);
    fixture.rejectsRequests = true;
    return rejections(fixture, path);
}

// Workers that hold the first request, and crash because they have to reject the second one. They
// are back at once as new processes, and sound after each has crashed.
struct OverwhelmedWorkers : GatewayFixture
{
    OverwhelmedWorkers()
    {
        store.put("config", "main", operatorConfiguration());
        for (std::size_t i = 0; i < Workers; ++i) {
            peers_.push_back(std::make_unique<standins::RawPeer>(
                io, [this, i](standins::RawConnection &connection, const std::string &text, int) {
                    respond(i, connection, standins::headerIn(text, "Attempt-Id"));
                }));
            announceWorker(i);
        }
        start();
        REQUIRE(awaitServing(Workers));
    }

    static constexpr std::size_t Workers = 7;
    std::size_t crashes = 0;

private:
    void announceWorker(std::size_t index)
    {
        announce("p" + std::to_string(index) + "-" + std::to_string(crashes), "plain",
                 peers_[index]->address());
    }
    void respond(std::size_t index, standins::RawConnection &connection, const std::string &id)
    {
        if (crashes == Workers) {
            connection.write(workerResponse(id, "fine"));
            return;
        }
        if (!isHolding_[index]) {
            isHolding_[index] = true;
            return;
        }
        if (hasCrashed_[index])
            return;
        hasCrashed_[index] = true;
        connection.write("HTTP/1.1 503 Unavailable\r\nAttempt-Id: " + id
                         + "\r\nNot-Executed: 1\r\nServer-Brittle: 0\r\n"
                           "Content-Length: 0\r\n\r\n");
        ++crashes;
        for (const auto &other : peers_[index]->all()) {
            if (other.get() == &connection)
                other->closeGracefully();
            else
                other->reset();
        }
        store.remove("servers", "p" + std::to_string(index) + "-0");
        announceWorker(index);
    }

    std::vector<std::unique_ptr<standins::RawPeer>> peers_;
    std::array<bool, Workers> isHolding_{};
    std::array<bool, Workers> hasCrashed_{};
};

} // namespace

// Guards against refusing a sound request that many callers send after workers crashed because they
// had to reject it too often.
TEST_CASE("BrittleEndpoints.RequestsThatRanBesideRejectionsAreServedAfterCrashes")
{
    OverwhelmedWorkers fixture;
    std::vector<std::shared_ptr<RawClient>> clients;
    for (int i = 0; i < 60; ++i) {
        clients.push_back(fixture.connect());
        clients.back()->send(request("GET", "/unsafe/same", "c" + std::to_string(i)));
    }
    REQUIRE(fixture.runUntil([&] { return fixture.crashes == OverwhelmedWorkers::Workers; }));
    fixture.runFor(milliseconds(500));
    CHECK(fixture.gateway->state().crashes.quarantinedCount(fixture.timers.now()) == 0);
    CHECK(fixture.call(request("GET", "/unsafe/same", "last"))->status() == 200);
}

// Guards against a plain endpoint that falls over because it has to reject too many requests.
TEST_CASE("BrittleEndpoints.PlainEndpointRejectsNoMoreThanItBears")
{
    const int rejected = rejectionsOfOnlyEndpoint("Server-Brittle: 2\r\n", "plain", "/unsafe/a");
    CHECK(rejected >= 1);
    CHECK(rejected <= RejectionsPerSecond * Seconds);
}

// Guards against an engine that falls over because it has to reject too many streams.
TEST_CASE("BrittleEndpoints.EngineRejectsNoMoreThanItBears")
{
    const int rejected = rejectionsOfOnlyEndpoint("Server-Brittle: 2\r\n", "model", "/stream/a");
    CHECK(rejected >= 1);
    CHECK(rejected <= RejectionsPerSecond * Seconds);
}

// Guards against an endpoint that bears no rejection and is tried again and again.
TEST_CASE("BrittleEndpoints.EndpointThatBearsNoneIsTriedOnce")
{
    CHECK(rejectionsOfOnlyEndpoint("Server-Brittle: 0\r\n", "plain", "/unsafe/a") == 1);
}

// Guards against a malformed value that takes an endpoint out of use.
TEST_CASE("BrittleEndpoints.UnreadableValueIsIgnored")
{
    for (const char *text : {"many", "", "-1", "nan"}) {
        const std::string announcement = std::string("Server-Brittle: ") + text + "\r\n";
        CHECK_MESSAGE(rejectionsOfOnlyEndpoint(announcement, "plain", "/unsafe/a")
                          > RejectionsPerSecond * Seconds,
                      std::string(text));
    }
}
