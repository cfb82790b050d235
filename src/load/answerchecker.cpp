#include <monsoongrade/load/answerchecker.h>

#include <monsoongrade/standins/answertext.h>

#include <nlohmann/json.hpp>

namespace monsoongrade::load {

using nlohmann::json;

AnswerChecker::AnswerChecker(std::string prompt, std::int64_t tokens, bool streamed)
    : prompt_(std::move(prompt))
    , expected_(tokens)
    , streamed_(streamed)
{
}

void AnswerChecker::add(std::string_view bytes)
{
    pending_.append(bytes);
    if (!streamed_)
        return;
    std::size_t newline = 0;
    while ((newline = pending_.find('\n')) != std::string::npos) {
        readLine(pending_.substr(0, newline));
        pending_.erase(0, newline + 1);
    }
}

AnswerVerdict AnswerChecker::verdict()
{
    if (!streamed_) {
        const json body = json::parse(pending_, nullptr, false);
        if (!body.is_object() || !body.contains("choices"))
            return AnswerVerdict::CutShort;
        const json &choice = body["choices"][0];
        readContent(choice.contains("message") ? choice["message"].value("content", "")
                                               : choice.value("text", ""));
        closed_ = true;
    }
    if (mixed_)
        return AnswerVerdict::Mixed;
    if (errorCode_ != 0)
        return AnswerVerdict::ErrorEvent;
    return closed_ && tokens_ == expected_ ? AnswerVerdict::Whole : AnswerVerdict::CutShort;
}

void AnswerChecker::readLine(const std::string &line)
{
    if (line.compare(0, 6, "data: ") != 0)
        return;
    const std::string data = line.substr(6);
    if (data == "[DONE]") {
        closed_ = true;
        return;
    }
    const json event = json::parse(data, nullptr, false);
    if (!event.is_object()) {
        mixed_ = true;
    } else if (event.contains("error")) {
        errorCode_ = event["error"].value("code", 0);
        errorReason_ = event["error"].value("reason", "");
        errorRunState_ = event["error"].value("run_state", "");
    } else if (event.contains("choices")) {
        const json &choice = event["choices"][0];
        readContent(choice.contains("delta") ? choice["delta"].value("content", "")
                                             : choice.value("text", ""));
    }
}

void AnswerChecker::readContent(const std::string &content)
{
    std::size_t at = 0;
    while (at < content.size()) {
        const std::string wanted = standins::answerToken(prompt_, tokens_);
        if (content.compare(at, wanted.size(), wanted) != 0) {
            mixed_ = true;
            return;
        }
        at += wanted.size();
        hash_ = hash_ * 31 + std::hash<std::string>()(wanted);
        ++tokens_;
    }
}

} // namespace monsoongrade::load
