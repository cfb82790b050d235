#include <monsoongrade/requests/retrybudget.h>

#include <algorithm>

namespace monsoongrade::requests {

RetryBudget::RetryBudget(double share, double most)
    : share_(share)
    , most_(most)
    , saved_(most)
{
}

void RetryBudget::earn()
{
    const std::lock_guard lock(mutex_);
    saved_ = std::min(most_, saved_ + share_);
}

bool RetryBudget::trySpend()
{
    const std::lock_guard lock(mutex_);
    if (saved_ < 1)
        return false;
    saved_ -= 1;
    return true;
}

} // namespace monsoongrade::requests
