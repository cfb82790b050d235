#include <standins/internal/enginestream.h>

#include <monsoongrade/standins/answertext.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdlib>

namespace monsoongrade::standins::internal {

namespace {

using nlohmann::json;

constexpr std::int64_t DefaultTokens = 16;
constexpr std::int64_t MaxTokens = 100000;

std::string promptOf(const json &body)
{
    if (!body.contains("messages"))
        return body.value("prompt", "");
    std::string prompt;
    for (const json &message : body["messages"])
        prompt += message.value("content", "");
    return prompt;
}

std::uint32_t hashOn(std::uint32_t hash, const std::string &text)
{
    for (const unsigned char c : text)
        hash = (hash ^ c) * 16777619U;
    return hash;
}

} // namespace

std::string EngineStream::makeToken()
{
    const std::string token = answerToken(prompt, done);
    ++done;
    ++madeHere;
    answerHash = hashOn(answerHash, token);
    if (!streamed) {
        whole += token;
        return {};
    }
    // Tokens hold no character that JSON escapes; a library's dump costs ten times this.
    return chat ? R"(data: {"choices":[{"delta":{"content":")" + token + "\"},\"index\":0}]}\n\n"
                : R"(data: {"choices":[{"index":0,"text":")" + token + "\"}]}\n\n";
}

std::string EngineStream::wholeAnswer() const
{
    json choice{{"index", 0}, {"finish_reason", "stop"}};
    if (chat)
        choice["message"] = {{"role", "assistant"}, {"content", whole}};
    else
        choice["text"] = whole;
    return json{{"choices", json::array({choice})}, {"usage", {{"completion_tokens", done}}}}
        .dump();
}

std::optional<EngineStream> readCompletion(const http::HttpRequest &request, bool canResume)
{
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object())
        return std::nullopt;
    EngineStream stream;
    try {
        stream.prompt = promptOf(body);
        stream.streamed = body.value("stream", false);
        stream.length = DefaultTokens;
        if (body.contains("metadata"))
            stream.length = std::clamp<std::int64_t>(
                body["metadata"].value("answer_tokens", DefaultTokens), 1, MaxTokens);
    } catch (const json::exception &) {
        return std::nullopt;
    }
    stream.requestId = request.header("monsoongrade-request-id");
    stream.idempotencyKey = request.header("idempotency-key");
    stream.chat = request.path == "/v1/chat/completions";
    stream.priority = std::atoi(request.header("priority").c_str());
    if (canResume && stream.streamed)
        stream.done = std::clamp<std::int64_t>(std::atoll(request.header("resume-offset").c_str()),
                                               0, stream.length);
    for (std::int64_t i = 0; i < stream.done; ++i)
        stream.answerHash = hashOn(stream.answerHash, answerToken(stream.prompt, i));
    return stream;
}

} // namespace monsoongrade::standins::internal
