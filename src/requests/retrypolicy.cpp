#include <monsoongrade/requests/retrypolicy.h>

namespace monsoongrade::requests {

namespace {

using configuration::PoolKind;
using configuration::RunRule;
using units::ResultCode;

constexpr int MaxAttempts = 3;
constexpr int TooManyRequests = 429;
constexpr int ServiceUnavailable = 503;

} // namespace

// A model engine answers 429 or 503 while it has no room, before it reads the prompt. A plain
// service may answer 503 after half of its work, so its status proves nothing.
bool refusedBeforeRunning(const AttemptResult &attempt, PoolKind kind)
{
    if (kind != PoolKind::Engine)
        return false;
    return attempt.status == TooManyRequests || attempt.status == ServiceUnavailable;
}

NextStep decideNextStep(const AttemptResult &attempt, RunRule run, PoolKind kind)
{
    const bool provedNotRun = !attempt.end.requestSent || refusedBeforeRunning(attempt, kind);
    if (attempt.end.code == ResultCode::Ok && !provedNotRun && !attempt.truncated)
        return NextStep::Complete;
    if (attempt.answerStarted) {
        const bool mayResume = attempt.resumable && run == RunRule::Idempotent;
        return mayResume && attempt.attemptsMade < MaxAttempts ? NextStep::Resume
                                                               : NextStep::FailPartial;
    }
    const bool mayRepeat = provedNotRun || run == RunRule::Idempotent;
    if (mayRepeat && attempt.attemptsMade < MaxAttempts)
        return NextStep::TryElsewhere;
    return provedNotRun ? NextStep::RefuseNotRun : NextStep::FailUnknown;
}

} // namespace monsoongrade::requests
