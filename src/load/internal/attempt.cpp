#include <load/internal/attempt.h>

#include <nlohmann/json.hpp>

#include <cstdlib>

namespace monsoongrade::load::internal {

namespace {

using endpoints::FlowControl;
using nlohmann::json;
using units::ResultCode;

constexpr auto RetryAfterNoAnswer = std::chrono::seconds(1);

} // namespace

AttemptListener::AttemptListener(const PlannedCall &call, AttemptHandlers handlers)
    : loadClass_(*call.loadClass)
    , checker_(call.prompt, call.tokens, call.loadClass->streamed)
    , handlers_(std::move(handlers))
{
}

void AttemptListener::answerHead(int status, const endpoints::Headers &headers)
{
    status_ = status;
    for (const auto &[name, value] : headers) {
        if (name == "retry-after")
            end_.retryAfter = std::chrono::seconds(std::atol(value.c_str()));
        else if (name == "monsoongrade-request-id")
            end_.requestId = value;
    }
}

FlowControl AttemptListener::answerBody(std::string_view bytes)
{
    if (status_ != 200 || loadClass_.model.empty())
        text_.append(bytes);
    if (status_ != 200)
        return FlowControl::Continue;
    if (!end_.firstToken)
        end_.firstToken = std::chrono::steady_clock::now();
    if (loadClass_.model.empty())
        return FlowControl::Continue;
    checker_.add(bytes);
    end_.tokens = checker_.tokens();
    if (loadClass_.leaveAfterTokens > 0 && end_.tokens >= loadClass_.leaveAfterTokens) {
        end_.outcome = LoadOutcome::Left;
        handlers_.left(end_);
        return FlowControl::Pause;
    }
    if (loadClass_.readBytesPerSecond == 0)
        return FlowControl::Continue;
    handlers_.paused(std::chrono::duration_cast<units::Duration>(std::chrono::duration<double>(
        static_cast<double>(bytes.size()) / static_cast<double>(loadClass_.readBytesPerSecond))));
    return FlowControl::Pause;
}

void AttemptListener::answerEnd(const endpoints::EndpointEnd &end)
{
    if (status_ != 200 && status_ != 0)
        readRefusal();
    else if (end.code != ResultCode::Ok)
        noAnswer(end);
    else if (loadClass_.model.empty())
        judgeService();
    else
        judge();
    handlers_.ended(end_);
}

void AttemptListener::readRefusal()
{
    const json body = json::parse(text_, nullptr, false);
    end_.outcome = LoadOutcome::Failed;
    if (!body.is_object() || !body.contains("error") || !body["error"].is_object()) {
        end_.reason = "status-" + std::to_string(status_);
        return;
    }
    const json &error = body["error"];
    end_.code = error.value("code", 0);
    end_.reason = error.value("reason", "");
    end_.runState = error.value("run_state", "");
    if (end_.runState == "not-run")
        end_.outcome = LoadOutcome::Refused;
}

// A refused connection never reached the system; the caller goes to another address.
void AttemptListener::noAnswer(const endpoints::EndpointEnd &end)
{
    end_.code = static_cast<int>(end.code);
    end_.reason = std::string(units::resultCodeName(end.code));
    if (end.requestSent)
        return;
    end_.outcome = LoadOutcome::Refused;
    end_.retryAfter = RetryAfterNoAnswer;
}

void AttemptListener::judgeService()
{
    const json body = json::parse(text_, nullptr, false);
    const bool own = body.is_object() && body.value("echo", "") == loadClass_.body;
    end_.outcome = own ? LoadOutcome::Answered : LoadOutcome::Mixed;
    end_.answerHash = std::hash<std::string>()(text_);
}

void AttemptListener::judge()
{
    end_.outcome = LoadOutcome::Answered;
    const AnswerVerdict verdict = checker_.verdict();
    end_.tokens = checker_.tokens();
    end_.answerHash = checker_.contentHash();
    if (verdict == AnswerVerdict::Mixed)
        end_.outcome = LoadOutcome::Mixed;
    else if (verdict == AnswerVerdict::CutShort)
        end_.outcome = LoadOutcome::CutShort;
    else if (verdict == AnswerVerdict::ErrorEvent)
        end_.outcome = LoadOutcome::Failed;
    end_.code = checker_.errorCode();
    end_.reason = checker_.errorReason();
    end_.runState = checker_.errorRunState();
}

} // namespace monsoongrade::load::internal
