#ifndef MONSOONGRADE_STANDINS_INTERNAL_ENGINESTREAM_H
#define MONSOONGRADE_STANDINS_INTERNAL_ENGINESTREAM_H

#include <monsoongrade/http/httpresponder.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace monsoongrade::standins::internal {

// One answer that the engine stand-in makes or has waiting.
struct EngineStream
{
    std::string requestId;
    std::string idempotencyKey;
    std::string prompt;
    std::shared_ptr<http::HttpResponder> responder;
    std::int64_t length = 0;
    // Tokens of the answer that are done, those before a resume's offset included.
    std::int64_t done = 0;
    std::int64_t madeHere = 0;
    int priority = 0;
    bool streamed = false;
    bool chat = true;
    bool gone = false;
    std::uint32_t answerHash = 0;
    std::string whole;

    // Adds the next token and returns its event.
    std::string makeToken();
    std::string wholeAnswer() const;
};

using EngineStreamPointer = std::shared_ptr<EngineStream>;

// Reads a completions request; empty where the body is no JSON object or a value in it has
// another type than expected.
std::optional<EngineStream> readCompletion(const http::HttpRequest &request, bool canResume);

} // namespace monsoongrade::standins::internal

#endif // MONSOONGRADE_STANDINS_INTERNAL_ENGINESTREAM_H
