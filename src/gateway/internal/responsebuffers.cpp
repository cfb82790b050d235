#include <gateway/internal/responsebuffers.h>

namespace monsoongrade::gateway::internal {

namespace {

// Responses have about 1 KB.
constexpr std::size_t UsualMaxCollected = 256 * 1024;
// An event has less than 400 bytes, so this is minutes of a stream.
constexpr std::size_t UsualMaxUnsent = 64 * 1024;
// For both, while the host holds many bytes of responses.
constexpr std::size_t MaxBytesWhenShort = 16 * 1024;

} // namespace

std::size_t maxCollectedBytes(const units::ByteBudget &responses)
{
    return responses.isShort() ? MaxBytesWhenShort : UsualMaxCollected;
}

void throttleIfBacklogged(httpio::ResponseWriter &reply,
                          const std::shared_ptr<httpio::Channel> &channel,
                          const units::ByteBudget &responses)
{
    if (reply.unsentBytes() <= (responses.isShort() ? MaxBytesWhenShort : UsualMaxUnsent))
        return;
    channel->pauseReading();
    reply.onDrained([paused = std::weak_ptr<httpio::Channel>(channel)] {
        if (const auto open = paused.lock())
            open->resumeReading();
    });
}

} // namespace monsoongrade::gateway::internal
