#include <monsoongrade/scheduling/slotlimit.h>

#include <algorithm>

namespace monsoongrade::scheduling {

namespace {

constexpr double SlowRatio = 0.5;
constexpr double HealthyRatio = 0.65;
constexpr double Decrease = 0.7;
constexpr auto BetweenDecreases = std::chrono::seconds(1);
constexpr int FailuresBeforeProbing = 3;
constexpr auto FirstPause = std::chrono::milliseconds(500);
constexpr auto MaxPause = std::chrono::seconds(8);

} // namespace

void SlotLimit::configure(int most)
{
    // A new endpoint starts with all its slots; a change keeps what was measured.
    limit_ = most_ == 0 ? most : std::min<double>(limit_, most);
    most_ = most;
    limit_ = std::max(1.0, limit_);
}

void SlotLimit::completed(double speedRatio, units::TimePoint now)
{
    failuresInRow_ = 0;
    probing_ = false;
    pause_ = {};
    if (speedRatio < SlowRatio) {
        if (now - lastDecrease_ >= BetweenDecreases) {
            limit_ = std::max(1.0, limit_ * Decrease);
            lastDecrease_ = now;
        }
    } else if (speedRatio >= HealthyRatio) {
        const double step = limit_ < fastGrowthUpTo_ ? 1 : 1 / limit_;
        limit_ = std::min<double>(most_, limit_ + step);
    }
}

void SlotLimit::failed(units::TimePoint now)
{
    limit_ = std::max(1.0, limit_ * Decrease);
    notRun(now);
}

void SlotLimit::notRun(units::TimePoint now)
{
    ++failuresInRow_;
    if (probing_ || failuresInRow_ >= FailuresBeforeProbing)
        startProbing(now);
}

void SlotLimit::silent(units::TimePoint now)
{
    if (!probing_)
        startProbing(now);
}

bool SlotLimit::admits(int inFlight, units::TimePoint now) const
{
    if (inFlight >= most_)
        return false;
    return probing_ ? now >= nextProbe_ : inFlight < current();
}

void SlotLimit::begun(units::TimePoint now)
{
    if (probing_)
        startProbing(now);
}

void SlotLimit::startProbing(units::TimePoint now)
{
    if (!probing_)
        fastGrowthUpTo_ = limit_ / 2;
    probing_ = true;
    limit_ = 1;
    pause_ = std::clamp<units::Duration>(pause_ * 2, FirstPause, MaxPause);
    nextProbe_ = now + pause_;
}

} // namespace monsoongrade::scheduling
