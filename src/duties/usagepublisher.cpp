#include <monsoongrade/duties/usagepublisher.h>

#include <algorithm>

namespace monsoongrade::duties {

namespace {

constexpr auto MinInterval = std::chrono::milliseconds(250);
constexpr auto IntervalPerHost = std::chrono::milliseconds(2);
constexpr auto TellAllInterval = std::chrono::seconds(1);

} // namespace

UsagePublisher::UsagePublisher(std::string ownIp)
    : ownIp_(std::move(ownIp))
{
}

units::Duration UsagePublisher::interval(std::size_t hosts)
{
    return std::max<units::Duration>(MinInterval, IntervalPerHost * std::int64_t(hosts));
}

std::vector<UsageUpdate> UsagePublisher::nextUpdates(const std::vector<std::string> &keepers,
                                                     UsageLedger &ledger, units::TimePoint now)
{
    if (now >= allToldAt_ + TellAllInterval) {
        allToldAt_ = now;
        informed_.clear();
    }
    const std::vector<UsageEntry> changed = ledger.takeChanged();
    std::vector<UsageUpdate> news;
    std::set<std::string> informed;
    for (const std::string &keeper : keepers) {
        informed.insert(keeper);
        if (keeper == ownIp_)
            continue;
        std::vector<UsageEntry> entries = informed_.count(keeper) != 0 ? changed : ledger.own();
        if (!entries.empty())
            news.push_back({keeper, std::move(entries)});
    }
    informed_ = std::move(informed);
    return news;
}

} // namespace monsoongrade::duties
