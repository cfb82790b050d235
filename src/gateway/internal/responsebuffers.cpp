#include <gateway/internal/responsebuffers.h>

namespace monsoongrade::gateway::internal {

namespace {

// An event has less than 400 bytes, so this is minutes of a stream.
constexpr std::size_t MaxUnsentBytes = 64 * 1024;

} // namespace

void throttleIfBacklogged(httpio::ResponseWriter &reply,
                          const std::shared_ptr<httpio::Channel> &channel)
{
    if (reply.unsentBytes() <= MaxUnsentBytes)
        return;
    channel->pauseReading();
    reply.onDrained([paused = std::weak_ptr<httpio::Channel>(channel)] {
        if (const auto open = paused.lock())
            open->resumeReading();
    });
}

} // namespace monsoongrade::gateway::internal
