#include <monsoongrade/requests/sharedanswer.h>

#include <requests/recordingresponder.h>

#include <doctest/doctest.h>

namespace monsoongrade::requests {

// A caller repeats a key, gets the kept answer and keeps its connection open. The responder's
// handler held the reader and the reader the responder, so that both stayed in memory for as long
// as the connection did, with every repeat on it.
TEST_CASE("SharedAnswer.CallerThatHasItsAnswerIsNotKept")
{
    const auto answer = std::make_shared<SharedAnswer>(units::RequestId("r"), 1000);
    auto early = std::make_shared<RecordingResponder>();
    answer->attach(early, std::nullopt);
    answer->begin(200, {});
    answer->write("bytes", {});
    answer->end();
    answer->settle({});
    auto late = std::make_shared<RecordingResponder>();
    answer->attach(late, std::nullopt);
    CHECK(early->body == "bytes");
    CHECK(late->body == "bytes");

    const std::weak_ptr<RecordingResponder> earlyLeft = early;
    const std::weak_ptr<RecordingResponder> lateLeft = late;
    early.reset();
    late.reset();
    CHECK(earlyLeft.expired());
    CHECK(lateLeft.expired());
}

} // namespace monsoongrade::requests
