#ifndef MONSOONGRADE_REQUESTS_RETRYBUDGET_H
#define MONSOONGRADE_REQUESTS_RETRYBUDGET_H

#include <cstdint>
#include <mutex>

namespace monsoongrade::requests {

// Bounds the retries of a router to a share of its live traffic. Without it each request that
// fails in an overload would come back up to three times and keep the overload alive; the symptom
// is endpoints that stay full after the burst has gone. Thread-safe.
class RetryBudget
{
public:
    // Each accepted request earns `share` of a retry; at most `most` are saved up, with which
    // the budget also starts, so that a quiet router may retry too.
    explicit RetryBudget(double share = 0.1, double most = 20);

    void earn();
    // False where the budget is spent.
    bool trySpend();

private:
    const double share_;
    const double most_;
    std::mutex mutex_;
    double saved_;
};

} // namespace monsoongrade::requests

#endif // MONSOONGRADE_REQUESTS_RETRYBUDGET_H
