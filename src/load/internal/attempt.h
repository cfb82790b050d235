#ifndef MONSOONGRADE_LOAD_INTERNAL_ATTEMPT_H
#define MONSOONGRADE_LOAD_INTERNAL_ATTEMPT_H

#include <load/internal/plannedcall.h>

#include <monsoongrade/load/answerchecker.h>

#include <functional>
#include <optional>

namespace monsoongrade::load::internal {

// What one attempt led to.
struct AttemptEnd
{
    LoadOutcome outcome = LoadOutcome::Failed;
    int code = 0;
    std::string reason;
    std::string runState;
    std::string requestId;
    std::size_t answerHash = 0;
    std::optional<units::Duration> retryAfter;
    std::optional<units::TimePoint> firstToken;
    std::int64_t tokens = 0;
};

struct AttemptHandlers
{
    std::function<void(const AttemptEnd &)> ended;
    // The slow reader has taken bytes; it reads on after this time.
    std::function<void(units::Duration)> paused;
    // The caller has had as many tokens as it wanted and leaves.
    std::function<void(const AttemptEnd &)> left;
};

// Reads one attempt's answer and judges it.
class AttemptListener : public endpoints::EndpointListener
{
public:
    AttemptListener(const PlannedCall &call, AttemptHandlers handlers);

    void answerHead(int status, const endpoints::Headers &headers) override;
    endpoints::FlowControl answerBody(std::string_view bytes) override;
    void answerEnd(const endpoints::EndpointEnd &end) override;

private:
    void readRefusal();
    void noAnswer(const endpoints::EndpointEnd &end);
    void judge();
    void judgeService();

    const LoadClass &loadClass_;
    AnswerChecker checker_;
    AttemptHandlers handlers_;
    int status_ = 0;
    // Of a refusal or a plain service's answer.
    std::string text_;
    AttemptEnd end_;
};

} // namespace monsoongrade::load::internal

#endif // MONSOONGRADE_LOAD_INTERNAL_ATTEMPT_H
