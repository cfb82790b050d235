#include <monsoongrade/scaling/preemptiblespread.h>

#include <algorithm>
#include <cmath>
#include <vector>

namespace monsoongrade::scaling {

namespace {

using ByDomain = std::map<units::FailureDomain, int>;

int roundedUp(double value)
{
    // A product that is whole but for the last bit of a double stays whole.
    constexpr double Slack = 1e-9;
    return int(std::ceil(value - Slack));
}

int sumOf(const ByDomain &counts)
{
    int sum = 0;
    for (const auto &[domain, count] : counts)
        sum += count;
    return sum;
}

int largestOf(const ByDomain &counts)
{
    int largest = 0;
    for (const auto &[domain, count] : counts)
        largest = std::max(largest, count);
    return largest;
}

// The domains, cheapest first.
std::vector<units::FailureDomain> byPrice(const routing::PoolScaling &scaling)
{
    std::vector<std::pair<double, units::FailureDomain>> priced;
    for (const auto &[domain, price] : scaling.prices)
        priced.emplace_back(price, domain);
    std::sort(priced.begin(), priced.end());
    std::vector<units::FailureDomain> domains;
    domains.reserve(priced.size());
    for (const auto &[price, domain] : priced)
        domains.push_back(domain);
    return domains;
}

// Spreads ordinary endpoints: those that are there stay, those of the dearest domains go first and
// new ones come to the cheapest.
ByDomain placeOrdinary(const SizingInput &input, const ByDomain &preemptible, int wanted)
{
    const std::vector<units::FailureDomain> domains = byPrice(input.scaling);
    ByDomain counts;
    for (const units::FailureDomain &domain : domains) {
        const auto endpointCounts = input.endpointCounts.domains.find(domain);
        const int present = endpointCounts == input.endpointCounts.domains.end()
            ? 0
            : endpointCounts->second.ordinary.ready;
        const int most = input.scaling.maxPerDomain - preemptible.at(domain);
        counts[domain] = std::max(std::min(present, most), input.scaling.minPerDomain);
    }
    int surplus = sumOf(counts) - wanted;
    for (auto domain = domains.rbegin(); domain != domains.rend() && surplus > 0; ++domain) {
        const int taken
            = std::min(surplus, std::max(0, counts[*domain] - input.scaling.minPerDomain));
        counts[*domain] -= taken;
        surplus -= taken;
    }
    for (auto domain = domains.begin(); domain != domains.end() && surplus < 0; ++domain) {
        const int room = input.scaling.maxPerDomain - preemptible.at(*domain) - counts[*domain];
        const int added = std::min(-surplus, std::max(0, room));
        counts[*domain] += added;
        surplus += added;
    }
    return counts;
}

} // namespace

bool PreemptibleSpread::isWorthIt(const SizingInput &input) const
{
    const auto domains = double(input.scaling.prices.size());
    if (domains < 2)
        return false;
    const double extra = std::max(1.0, settings_.leftAfterLoss * domains / (domains - 1));
    return extra * input.scaling.preemptiblePrice < 1;
}

// Preemptible endpoints wanted in each domain, with room left for the ordinary ones that are there.
ByDomain PreemptibleSpread::spread(const SizingInput &input) const
{
    ByDomain wanted;
    int usable = 0;
    for (const auto &[domain, price] : input.scaling.prices) {
        wanted[domain] = 0;
        usable += input.preemptibleUnavailable.count(domain) == 0 ? 1 : 0;
    }
    if (!isWorthIt(input) || usable == 0)
        return wanted;
    const double share
        = usable > 1 ? std::max(settings_.leftAfterLoss / (usable - 1), 1.0 / usable) : 1.0;
    const int each = roundedUp(share * input.needed);
    for (auto &[domain, count] : wanted) {
        if (input.preemptibleUnavailable.count(domain) != 0)
            continue;
        const auto endpointCounts = input.endpointCounts.domains.find(domain);
        const int ordinary = endpointCounts == input.endpointCounts.domains.end()
            ? 0
            : endpointCounts->second.ordinary.ready + endpointCounts->second.ordinary.draining;
        const int room
            = input.scaling.maxPerDomain - std::max(ordinary, input.scaling.minPerDomain);
        count = std::min(each, std::max(0, room));
    }
    return wanted;
}

int PreemptibleSpread::ordinaryBeside(const ByDomain &preemptible, int needed) const
{
    const int all = sumOf(preemptible);
    const int afterLoss = all - largestOf(preemptible);
    return std::max(
        {0, needed - all, roundedUp(settings_.leftAfterSecondLoss * needed) - afterLoss});
}

PoolSize PreemptibleSpread::decide(const SizingInput &input) const
{
    const ByDomain preemptible = spread(input);
    ByDomain ready;
    int ordinaryReady = 0;
    for (const auto &[domain, count] : preemptible) {
        const auto endpointCounts = input.endpointCounts.domains.find(domain);
        ready[domain] = endpointCounts == input.endpointCounts.domains.end()
            ? 0
            : endpointCounts->second.preemptible.ready;
        ordinaryReady += endpointCounts == input.endpointCounts.domains.end()
            ? 0
            : endpointCounts->second.ordinary.ready;
    }
    // Ordinary endpoints go only when preemptible ones have taken their place. None are ordered
    // for the time until those start: they would take as long.
    const int kept = std::min(ordinaryReady, ordinaryBeside(ready, input.needed));
    const int wanted = std::max(kept, ordinaryBeside(preemptible, input.needed));
    const ByDomain ordinary = placeOrdinary(input, preemptible, wanted);
    PoolSize size;
    for (const auto &[domain, count] : preemptible)
        size[domain] = {ordinary.at(domain), count};
    return size;
}

} // namespace monsoongrade::scaling
