#include <monsoongrade/requests/refusal.h>

#include "recordingresponder.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <set>

namespace monsoongrade::requests {

namespace {

using units::ResultCode;

nlohmann::json errorOf(const Refusal &refusal)
{
    RecordingResponder responder;
    sendRefusal(responder, refusal);
    return nlohmann::json::parse(responder.body)["error"];
}

} // namespace

// Each refusal says what happened, whether it ran, and what to do next.
TEST_CASE("Refusal.EveryCodeSaysWhetherItRanAndWhatToDo")
{
    constexpr int HighestCode = 7000;
    int codes = 0;
    for (int number = 1; number < HighestCode; ++number) {
        const auto code = static_cast<ResultCode>(number);
        if (units::resultCodeName(code) == "unnamed")
            continue;
        ++codes;
        const Refusal notRun{units::RequestId("r-1"),
                             {code, "what happened"},
                             RunState::NotRun,
                             std::chrono::seconds(2)};
        const auto error = errorOf(notRun);
        const auto message = error["message"].get<std::string>();
        CHECK(error["code"] == number);
        CHECK(error["request_id"] == "r-1");
        CHECK(error["run_state"] == "not-run");
        const std::string start = "what happened. The request did not run. ";
        REQUIRE(message.compare(0, start.size(), start) == 0);
        CHECK_MESSAGE(message.size() > start.size() + 8, "what to do after ", number);
        for (const RunState state : {RunState::Unknown, RunState::Partial}) {
            Refusal ran = notRun;
            ran.runState = state;
            const auto text = errorOf(ran)["message"].get<std::string>();
            CHECK(text.find("did not run") == std::string::npos);
            CHECK(text.find("end it again") != std::string::npos);
        }
    }
    CHECK(codes > 40);
}

// "Correct it" was all that whoever sent too much, or an unknown key, was told.
TEST_CASE("Refusal.WhatWouldBeRefusedAgainIsToldWhatToChange")
{
    std::set<std::string> advice;
    for (const ResultCode code :
         {ResultCode::BodyTooLarge, ResultCode::UnknownKey, ResultCode::NoSuchPath,
          ResultCode::UnknownModel, ResultCode::KeyReusedForOtherRequest,
          ResultCode::MissingIdempotencyKey, ResultCode::MalformedRequest,
          ResultCode::RouterStopping}) {
        const auto error = errorOf({units::RequestId("r"), {code, "x"}, RunState::NotRun, {}});
        advice.insert(error["message"].get<std::string>());
    }
    CHECK(advice.size() == 8);
}

} // namespace monsoongrade::requests
