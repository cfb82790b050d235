#include "simulatedpool.h"

#include <algorithm>

namespace monsoongrade::routing {

namespace {

// Without an event for this time and that of its prefill, an engine is suspected.
constexpr auto SilenceTimeout = std::chrono::milliseconds(500);
constexpr std::int64_t PrefillTokensPerMs = 50;

} // namespace

void SimulatedPool::startSilences()
{
    const std::vector<Silence> &silences = options_.silences;
    while (startedSilences_ < silences.size() && start_ + silences[startedSilences_].at <= now_) {
        const Silence &silence = silences[startedSilences_++];
        std::vector<Engine *> engines;
        for (auto &[id, engine] : engines_)
            engines.push_back(&engine);
        std::shuffle(engines.begin(), engines.end(), random_);
        engines.resize(std::min(engines.size(), std::size_t(silence.engines)));
        for (Engine *engine : engines) {
            engine->silentUntil = now_ + silence.length;
            engine->nextStep = std::max(engine->nextStep, engine->silentUntil);
        }
    }
}

void SimulatedPool::expectEvent(std::uint64_t number, std::int64_t tokensToRead)
{
    const std::chrono::duration<double, std::milli> readTime(double(tokensToRead)
                                                             / double(PrefillTokensPerMs));
    suspicions_.emplace(
        now_ + SilenceTimeout + std::chrono::duration_cast<units::Duration>(readTime), number);
}

// As hosts report them: an engine that sent nothing since a request was sent to it.
void SimulatedPool::reportSilentEngines()
{
    while (!suspicions_.empty() && suspicions_.begin()->first <= now_) {
        const std::uint64_t number = suspicions_.begin()->second;
        suspicions_.erase(suspicions_.begin());
        const auto found = open_.find(number);
        if (found != open_.end() && found->second.engine->lastEventAt < found->second.sentAt)
            placer_.onEvent(ticketOf(number), PlacementEvent::EndpointSilent, now_);
    }
}

} // namespace monsoongrade::routing
