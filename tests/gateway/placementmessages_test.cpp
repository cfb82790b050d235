#include <gateway/internal/placementmessages.h>

#include <doctest/doctest.h>

#include <variant>

using namespace monsoongrade;
using namespace monsoongrade::gateway::internal;
using routing::performance::LearnedSpeed;

TEST_CASE("PlacementMessages.EndpointSpeedsKeepTheirValuesAndFitInADatagram")
{
    // Guards against a successor that reads other speeds than were sent, and against a datagram of
    // 20 entries that is divided on its way.
    EndpointSpeedsMessage message;
    for (int i = 0; i < 20; ++i) {
        LearnedSpeed speed;
        speed.endpoint.id = units::EndpointId("engine-pool-large-" + std::to_string(1000 + i));
        speed.endpoint.incarnation = routing::Incarnation(1'700'000'000'123 + i);
        speed.relativeSpeed = 0.75 + i * 0.125;
        speed.samples = 1000 + i;
        speed.age = std::chrono::milliseconds(1500 + i);
        message.speeds.push_back(speed);
    }
    const std::string datagram = encode(message);
    CHECK_MESSAGE(datagram.size() < 1400, "has ", datagram.size(), " bytes");
    const auto decoded = std::get<EndpointSpeedsMessage>(decodePlacementMessage(datagram));
    REQUIRE(decoded.speeds.size() == message.speeds.size());
    for (std::size_t i = 0; i < message.speeds.size(); ++i) {
        CHECK(decoded.speeds[i].endpoint == message.speeds[i].endpoint);
        CHECK(decoded.speeds[i].relativeSpeed == message.speeds[i].relativeSpeed);
        CHECK(decoded.speeds[i].samples == message.speeds[i].samples);
        CHECK(decoded.speeds[i].age == message.speeds[i].age);
    }
}

// Guards against a copy that the placing host plans and the requesting host never learns of: the
// endpoint would prefill the whole prompt, and both would expect its own tokens only.
TEST_CASE("PlacementMessages.AnswerNamesTheSourceOfACopy")
{
    for (const std::string source : {"", "e7"}) {
        routing::PlacementChoice choice;
        choice.tokensToRead = 3720;
        choice.cacheSource = units::EndpointId(source);
        const PlacementMessage decoded = decodePlacementMessage(encode(answerFor(5, choice)));
        const auto &answer = std::get<AnswerMessage>(decoded);
        CHECK(answer.number == 5);
        CHECK(answer.tokensToRead == 3720);
        CHECK(answer.cacheSource.value() == source);
    }
}
