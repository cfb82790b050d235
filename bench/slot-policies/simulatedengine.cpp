#include "simulatedengine.h"

#include <algorithm>

namespace monsoongrade::bench {

namespace {

constexpr double SoloSpeed = 40;
constexpr double SlowdownPerStream = 0.05;
constexpr double PromptTokens = 1200;
constexpr double PrefixTokens = 1000;
constexpr double PrefillSpeed = 4000;

} // namespace

double SimulatedEngine::streamSpeed(int n)
{
    return SoloSpeed / (1 + SlowdownPerStream * (n - 1));
}

double SimulatedEngine::slotSeconds(double tokens, int batch)
{
    return PromptTokens / PrefillSpeed + tokens / streamSpeed(batch);
}

void SimulatedEngine::add(const Stream &stream)
{
    streams_.push_back(stream);
}

double SimulatedEngine::cancel(std::size_t request)
{
    const auto found = std::find_if(streams_.begin(), streams_.end(),
                                    [&](const auto &each) { return each.request == request; });
    if (found == streams_.end())
        return 0;
    const double made = found->made;
    streams_.erase(found);
    return made;
}

std::vector<SimulatedEngine::Stream> SimulatedEngine::step(double seconds,
                                                           std::vector<std::size_t> &firstTokens)
{
    admit();
    const double made = factor_ * seconds * streamSpeed(std::max(1, running()));
    std::vector<Stream> finished;
    for (Stream &stream : streams_) {
        if (!stream.running)
            continue;
        if (stream.prefillLeft > 0) {
            stream.prefillLeft -= factor_ * seconds;
            continue;
        }
        if (stream.made == 0)
            firstTokens.push_back(stream.request);
        stream.made += made;
        if (stream.made >= stream.tokens)
            finished.push_back(stream);
    }
    streams_.erase(std::remove_if(streams_.begin(), streams_.end(),
                                  [](const auto &each) { return each.made >= each.tokens; }),
                   streams_.end());
    return finished;
}

int SimulatedEngine::freeSlots() const
{
    return std::max(0, batch_ - load());
}

double SimulatedEngine::unused(double seconds) const
{
    const int n = std::min(batch_, load());
    return factor_ * seconds * (batch_ * streamSpeed(batch_) - n * streamSpeed(std::max(1, n)));
}

int SimulatedEngine::running() const
{
    return static_cast<int>(std::count_if(streams_.begin(), streams_.end(),
                                          [](const auto &each) { return each.running; }));
}

void SimulatedEngine::admit()
{
    while (running() < batch_) {
        Stream *next = nullptr;
        for (Stream &stream : streams_) {
            if (!stream.running && (!next || stream.tier < next->tier))
                next = &stream;
        }
        if (!next)
            return;
        const bool cached = cache_.contains(units::PrefixHash(next->prefix));
        cache_.use(units::PrefixHash(next->prefix));
        next->running = true;
        next->prefillLeft = (PromptTokens - (cached ? PrefixTokens : 0)) / PrefillSpeed;
        prefillDone_ += PromptTokens;
        prefillSaved_ += cached ? PrefixTokens : 0;
    }
}

} // namespace monsoongrade::bench
