#include <monsoongrade/observability/logbudget.h>

#include <utility>

namespace monsoongrade::observability {

bool LogBudget::allows(units::TimePoint now)
{
    if (now >= secondEnds_) {
        secondEnds_ = now + std::chrono::seconds(1);
        written_ = 0;
    }
    if (written_ < linesPerSecond_) {
        ++written_;
        return true;
    }
    ++leftOut_;
    return false;
}

std::uint64_t LogBudget::takeLeftOut()
{
    return std::exchange(leftOut_, 0);
}

} // namespace monsoongrade::observability
