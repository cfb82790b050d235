#include "placerfixture.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <utility>
#include <vector>

using namespace monsoongrade;
using namespace monsoongrade::routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int Slots = 16;
constexpr double MaxRejections = 2; // a second

// An endpoint that survives few rejections and runs requests of a host that is gone. A coordinator
// that knows nothing of these places a burst; first events come after 20 ms.
struct OccupiedEndpoint
{
    explicit OccupiedEndpoint(int occupied)
        : free(Slots - occupied)
    {
        fixture.registry.available(TestPool)[0]->maxRejections = MaxRejections;
    }

    // Places requests for a time, one a millisecond. Returns the most rejections within a second.
    int placeFor(seconds length)
    {
        std::vector<std::pair<units::TimePoint, PlacementTicket>> underWay;
        std::deque<units::TimePoint> rejections;
        std::size_t most = 0;
        const units::TimePoint end = fixture.now + length;
        for (; fixture.now < end; fixture.now += milliseconds(1)) {
            while (!underWay.empty() && underWay.front().first <= fixture.now) {
                answer(underWay.front().second, rejections);
                underWay.erase(underWay.begin());
            }
            while (!rejections.empty() && rejections.front() <= fixture.now - seconds(1))
                rejections.pop_front();
            most = std::max(most, rejections.size());
            if (fixture.place(modelQuery("s", 100, 100)).endpoint != nullptr)
                underWay.emplace_back(fixture.now + milliseconds(20), fixture.lastTicket());
        }
        return int(most);
    }

    PlacerFixture fixture{1, Slots};
    int free; // slots
    int accepted = 0;

private:
    void answer(const PlacementTicket &ticket, std::deque<units::TimePoint> &rejections)
    {
        const bool isAccepted = accepted < free;
        accepted += isAccepted ? 1 : 0;
        if (!isAccepted)
            rejections.push_back(fixture.now);
        fixture.placer.onEvent(
            ticket, isAccepted ? PlacementEvent::FirstEvent : PlacementEvent::EndpointPaused,
            fixture.now);
    }
};

} // namespace

// Guards against a new coordinator that counts slots as free which requests of its predecessor
// hold, and is rejected more often than the endpoint survives.
TEST_CASE("AdmissionWindow.OccupiedSlotsAreFoundWithFewRejections")
{
    for (const int occupied : {1, 4, 10, 15, 16}) {
        OccupiedEndpoint endpoint(occupied);
        CHECK_MESSAGE(endpoint.placeFor(seconds(4)) <= int(MaxRejections), occupied, " occupied");
        CHECK(endpoint.accepted == Slots - occupied);
    }
}

// Guards against an endpoint whose slots become free and are not used again.
TEST_CASE("AdmissionWindow.SlotsThatBecomeFreeAreUsed")
{
    OccupiedEndpoint endpoint(12);
    endpoint.placeFor(seconds(3));
    endpoint.free = Slots;
    endpoint.placeFor(seconds(3));
    CHECK(endpoint.accepted == Slots);
}

// Guards against an endpoint that survives no rejection and is not tried at all.
TEST_CASE("AdmissionWindow.EndpointThatSurvivesNoRejectionIsFilledOneByOne")
{
    AdmissionWindow window;
    for (int open = 0; open < 4; ++open) {
        CHECK(window.admits(open, 0, TestStart));
        CHECK_FALSE(window.admits(open + 1, 0, TestStart));
        window.onAccepted(open + 1);
    }
    window.onRejected(4, 0, TestStart);
    CHECK_FALSE(window.admits(4, 0, TestStart + seconds(4)));
    CHECK(window.admits(4, 0, TestStart + seconds(6)));
}
