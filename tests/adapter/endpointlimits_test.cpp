#include "gatewayfixture.h"

#include <doctest/doctest.h>

using namespace monsoongrade;
using namespace monsoongrade::platform;
using standins::headerIn;
using standins::RawConnection;
using standins::RawPeer;
using std::chrono::milliseconds;

namespace {

// Requests that a limited worker may get within 4 s: one and a half times the limit, plus 5.
constexpr double SpanSeconds = 4;
int maxArrivals(double perSecond)
{
    return int(1.5 * perSecond * SpanSeconds + 5);
}

// A gateway with two workers of one service, one of which sends a limit.
class LimitFixture : public GatewayFixture
{
public:
    explicit LimitFixture(const std::string &service)
    {
        store.put("config", "main", operatorConfiguration());
        for (int i = 0; i < 2; ++i) {
            peers_.push_back(std::make_unique<RawPeer>(
                io, [this, i](RawConnection &connection, const std::string &text, int) {
                    connection.write(workerResponse(headerIn(text, "Attempt-Id"), "fine",
                                                    i == limited_ ? limitHeader : std::string()));
                }));
            announce("e" + std::to_string(i), service, peers_.back()->address());
        }
        start();
        REQUIRE(awaitServing(2));
    }

    // The worker that got the most requests sends limits from now on.
    void limitBusiest() { limited_ = peers_[0]->requests() > peers_[1]->requests() ? 0 : 1; }
    int limitedRequests() const { return peers_[std::size_t(limited_)]->requests(); }

    // Sends requests for a time and returns the status of each.
    std::vector<int> callFor(milliseconds time, const std::string &path)
    {
        std::vector<int> statuses;
        const auto end = std::chrono::steady_clock::now() + time;
        while (std::chrono::steady_clock::now() < end) {
            const std::string number = std::to_string(++calls_);
            statuses.push_back(call(request("POST", path, "id" + number, "body " + number,
                                            path == "/stream/a" ? StreamHeaders : ""))
                                   ->status());
            runFor(milliseconds(20));
        }
        return statuses;
    }

    std::string limitHeader;

private:
    std::vector<std::unique_ptr<RawPeer>> peers_;
    int limited_ = 0;
    int calls_ = 0;
};

bool allServed(const std::vector<int> &statuses)
{
    return std::count(statuses.begin(), statuses.end(), 200) == std::ptrdiff_t(statuses.size());
}

} // namespace

// Guards against overloading an endpoint that has sent a limit.
TEST_CASE("EndpointLimits.PlainEndpointGetsNoMoreThanItsLimit")
{
    LimitFixture fixture("plain");
    fixture.callFor(milliseconds(200), "/unsafe/a");
    fixture.limitBusiest();
    fixture.limitHeader = "Server-Limit: 1\r\n";
    const int before = fixture.limitedRequests();
    CHECK(allServed(fixture.callFor(milliseconds(4000), "/unsafe/a")));
    CHECK(fixture.limitedRequests() - before >= 2);
    CHECK(fixture.limitedRequests() - before <= maxArrivals(1));
}

// Guards against overloading a model engine that has sent a limit.
TEST_CASE("EndpointLimits.ModelEndpointGetsNoMoreThanItsLimit")
{
    LimitFixture fixture("model");
    fixture.callFor(milliseconds(200), "/stream/a");
    fixture.limitBusiest();
    fixture.limitHeader = "Server-Limit: 1.6\r\n";
    const int before = fixture.limitedRequests();
    CHECK(allServed(fixture.callFor(milliseconds(4000), "/stream/a")));
    CHECK(fixture.limitedRequests() - before >= 2);
    CHECK(fixture.limitedRequests() - before <= maxArrivals(1.6));
}

// Guards against an endpoint that stays limited after it has withdrawn its limit.
TEST_CASE("EndpointLimits.LimitEndsWithTheFirstResponseWithoutOne")
{
    LimitFixture fixture("plain");
    fixture.limitHeader = "Server-Limit: 2\r\n";
    fixture.callFor(milliseconds(1000), "/unsafe/a");
    fixture.limitHeader.clear();
    fixture.callFor(milliseconds(1000), "/unsafe/a");
    const int before = fixture.limitedRequests();
    const auto statuses = fixture.callFor(milliseconds(1000), "/unsafe/a");
    CHECK(fixture.limitedRequests() - before > int(statuses.size()) / 4);
}

// Guards against a malformed limit that takes an endpoint out of use.
TEST_CASE("EndpointLimits.UnreadableLimitIsIgnored")
{
    for (const char *text : {"none", "", "-3", "nan", "1e400"}) {
        LimitFixture fixture("plain");
        fixture.limitHeader = std::string("Server-Limit: ") + text + "\r\n";
        const auto statuses = fixture.callFor(milliseconds(500), "/unsafe/a");
        CHECK_MESSAGE(fixture.limitedRequests() > int(statuses.size()) / 4, text);
    }
}
