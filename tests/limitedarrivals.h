#ifndef MONSOONGRADE_TESTS_LIMITEDARRIVALS_H
#define MONSOONGRADE_TESTS_LIMITEDARRIVALS_H

#include <monsoongrade/units/clock.h>

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace monsoongrade::tests {

// The platform's rule for an endpoint that has announced a rate limit. In a span of 4 s it gets at
// most one and a half times what the limit allows, and 5 requests: counted from 3 s after it first
// announced the limit, from the hosts that were told at least half a second before.
class LimitedArrivals
{
public:
    static constexpr auto Span = std::chrono::seconds(4);

    // Largest number of requests in a span at this limit of requests a second.
    static int allowed(double limit) { return int(1.5 * limit * double(Span.count()) + 5); }

    // The endpoint announced its limit. Only the first time counts.
    void onAnnounced(units::TimePoint at) { announcedAt_ = announcedAt_.value_or(at); }
    // The host has passed on a response with the limit. Only the first time counts.
    void onTold(const std::string &host, units::TimePoint at) { toldAt_.try_emplace(host, at); }
    std::optional<units::TimePoint> toldAt(const std::string &host) const
    {
        const auto found = toldAt_.find(host);
        return found == toldAt_.end() ? std::nullopt : std::optional(found->second);
    }
    // A request of the host arrived, no earlier than the last one. Returns the number of requests
    // that count in the span that ends with it, 0 if it does not count.
    int onArrival(const std::string &host, units::TimePoint at)
    {
        const auto told = toldAt(host);
        if (!announcedAt_ || at < *announcedAt_ + CountedAfterAnnounced || !told
            || at < *told + CountedAfterTold)
            return 0;
        inSpan_.push_back(at);
        while (inSpan_.front() <= at - Span)
            inSpan_.pop_front();
        most_ = std::max(most_, int(inSpan_.size()));
        return int(inSpan_.size());
    }
    // The largest number in any span.
    int most() const { return most_; }

private:
    static constexpr auto CountedAfterAnnounced = std::chrono::seconds(3);
    static constexpr auto CountedAfterTold = std::chrono::milliseconds(500);

    std::optional<units::TimePoint> announcedAt_;
    std::map<std::string, units::TimePoint> toldAt_; // by host
    std::deque<units::TimePoint> inSpan_; // of those that count
    int most_ = 0;
};

} // namespace monsoongrade::tests

#endif // MONSOONGRADE_TESTS_LIMITEDARRIVALS_H
