#include <monsoongrade/scheduling/drainrate.h>

#include <cmath>

namespace monsoongrade::scheduling {

namespace {

constexpr double WindowSeconds = 5;

} // namespace

void DrainRate::count(units::TimePoint now)
{
    count_ = decayed(now) + 1;
    last_ = now;
}

double DrainRate::perSecond(units::TimePoint now) const
{
    return decayed(now) / WindowSeconds;
}

double DrainRate::decayed(units::TimePoint now) const
{
    const double age = std::chrono::duration<double>(now - last_).count();
    return count_ * std::exp(-age / WindowSeconds);
}

} // namespace monsoongrade::scheduling
