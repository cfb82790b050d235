#ifndef MONSOONGRADE_LOAD_LOADRESULT_H
#define MONSOONGRADE_LOAD_LOADRESULT_H

#include <monsoongrade/units/clock.h>

#include <cstdint>
#include <string>

namespace monsoongrade::load {

enum class LoadOutcome {
    Answered,
    // Turned away with a numbered code.
    Refused,
    // Ended with an explicit error after it may have run.
    Failed,
    // Another caller's bytes, or bytes missing without an error: a broken promise.
    Mixed,
    CutShort,
    // Answers to one idempotency key differ: a broken promise.
    Unequal,
    // The caller left of its own will.
    Left,
    // No end within the script's limit.
    Lost,
};

const char *loadOutcomeName(LoadOutcome outcome);

// What became of one request, as its caller saw it.
struct LoadResult
{
    std::string className;
    LoadOutcome outcome = LoadOutcome::Lost;
    // Numbered code of the last refusal or error; 0 where there was none.
    int code = 0;
    std::string reason;
    // What the refusal said: "not-run", "unknown", "partial", or nothing.
    std::string runState;
    std::string requestId;
    std::string idempotencyKey;
    // Of the answer's content; equal for equal answers.
    std::size_t answerHash = 0;
    // Where a refusal said when to come back.
    bool retryAfterGiven = false;
    std::string address;
    // Since the start of the run.
    units::Duration sentAt{};
    // Since the request was first sent, come-backs included.
    units::Duration firstToken{};
    units::Duration whole{};
    std::int64_t tokens = 0;
    int attempts = 1;
};

} // namespace monsoongrade::load

#endif // MONSOONGRADE_LOAD_LOADRESULT_H
