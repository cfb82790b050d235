#include <monsoongrade/routing/performance/prefillpacing.h>

#include <algorithm>

namespace monsoongrade::routing::performance {

namespace {

// Known engines prefill chunks of 2,048 or 4,096 tokens. The larger one is assumed, as its steps
// are longer.
constexpr double ChunkTokens = 4096;
// Time of a chunk of a long prompt, relative to one at the start of a prompt: attention to the
// earlier tokens takes the rest.
constexpr double LongContextFactor = 1.3;
// Step without prefill: 3.4 to 4.6 ms, and 0.01 to 0.05 ms for each running stream.
constexpr auto StepTime = std::chrono::milliseconds(7);
// Outstanding prefill that may remain of a batch which has lasted longer than the gap. Short
// prompts arrive all the time, so that the outstanding prefill of a busy endpoint may never end.
// They are placed without pacing while they take at most 90 ms, about one chunk at 61 tokens/ms.
constexpr auto MaxRemainder = std::chrono::milliseconds(90);

units::Duration milliseconds(double count)
{
    return std::chrono::duration_cast<units::Duration>(
        std::chrono::duration<double, std::milli>(count));
}

} // namespace

PrefillPacing::PrefillPacing(double tokensPerMs, int tokensPerEvent, units::Duration smallestGap)
    : tokensPerMs_(tokensPerMs)
    , tokensPerEvent_(tokensPerEvent)
    , smallestGap_(smallestGap)
{
}

units::Duration PrefillPacing::eventTime(int tokensPerEvent)
{
    return tokensPerEvent * units::Duration(StepTime);
}

bool PrefillPacing::isPacingNeeded() const
{
    if (smallestGap_ == units::Duration::zero())
        return false;
    const units::Duration chunkTime = milliseconds(LongContextFactor * ChunkTokens / tokensPerMs_);
    return tokensPerEvent_ * (chunkTime + StepTime) > smallestGap_;
}

units::Duration PrefillPacing::maxBatch() const
{
    return std::max(smallestGap_ - eventTime(tokensPerEvent_), units::Duration::zero());
}

bool PrefillPacing::fitsInBatch(std::int64_t newPrefill) const
{
    return timeOf(newPrefill) <= maxBatch();
}

bool PrefillPacing::mayPlace(const EndpointLoad &load, std::int64_t newPrefill,
                             units::TimePoint now) const
{
    if (timeOf(load.batchTokens + newPrefill) <= maxBatch())
        return true;
    const bool isBatchOver
        = now - load.busySince > smallestGap_ && timeOf(load.tokensToRead) <= MaxRemainder;
    return isBatchOver && timeOf(load.tokensToRead + newPrefill) <= maxBatch();
}

units::Duration PrefillPacing::timeOf(std::int64_t tokens) const
{
    return milliseconds(double(tokens) / tokensPerMs_);
}

} // namespace monsoongrade::routing::performance
