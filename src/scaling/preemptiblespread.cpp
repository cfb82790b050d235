#include <monsoongrade/scaling/preemptiblespread.h>

#include <algorithm>
#include <cmath>
#include <vector>

namespace monsoongrade::scaling {

namespace {

using ByDomain = std::map<units::FailureDomain, int>;

int roundedUp(double value)
{
    // Keeps a floating-point error from rounding an integral product up by one.
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

// Returns the domains, cheapest first.
std::vector<units::FailureDomain> domainsByPrice(const routing::PoolScaling &scaling)
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

// Distributes ordinary endpoints over the domains. Existing ones stay where possible; removals
// start in the most expensive domain and additions in the cheapest.
ByDomain placeOrdinary(const SizingInput &input, const ByDomain &preemptible, int wanted)
{
    const std::vector<units::FailureDomain> domains = domainsByPrice(input.scaling);
    ByDomain counts;
    for (const units::FailureDomain &domain : domains) {
        const auto found = input.endpointCounts.domains.find(domain);
        const int present
            = found == input.endpointCounts.domains.end() ? 0 : found->second.ordinary.ready;
        const int maxOrdinary = input.scaling.maxPerDomain - preemptible.at(domain);
        counts[domain] = std::max(std::min(present, maxOrdinary), input.scaling.minPerDomain);
    }
    int surplus = sumOf(counts) - wanted;
    for (auto domain = domains.rbegin(); domain != domains.rend() && surplus > 0; ++domain) {
        const int removed
            = std::min(surplus, std::max(0, counts[*domain] - input.scaling.minPerDomain));
        counts[*domain] -= removed;
        surplus -= removed;
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

bool PreemptibleSpread::isPreemptibleCheaper(const SizingInput &input) const
{
    const auto domains = double(input.scaling.prices.size());
    if (domains < 2)
        return false;
    const double extra = std::max(1.0, settings_.capacityShareAfterLoss * domains / (domains - 1));
    return extra * input.scaling.preemptiblePrice < 1;
}

// Returns the preemptible endpoints desired in each domain. Leaves room for the existing ordinary
// ones within the domain's limit.
ByDomain PreemptibleSpread::spread(const SizingInput &input) const
{
    ByDomain wanted;
    int usableDomains = 0;
    for (const auto &[domain, price] : input.scaling.prices) {
        wanted[domain] = 0;
        usableDomains += input.preemptibleUnavailable.count(domain) == 0 ? 1 : 0;
    }
    if (!isPreemptibleCheaper(input) || usableDomains == 0)
        return wanted;
    const double share = usableDomains > 1
        ? std::max(settings_.capacityShareAfterLoss / (usableDomains - 1), 1.0 / usableDomains)
        : 1.0;
    const int perDomain = roundedUp(share * input.needed);
    for (auto &[domain, count] : wanted) {
        if (input.preemptibleUnavailable.count(domain) != 0)
            continue;
        const auto found = input.endpointCounts.domains.find(domain);
        const int ordinary = found == input.endpointCounts.domains.end()
            ? 0
            : found->second.ordinary.ready + found->second.ordinary.draining;
        const int room
            = input.scaling.maxPerDomain - std::max(ordinary, input.scaling.minPerDomain);
        count = std::min(perDomain, std::max(0, room));
    }
    return wanted;
}

int PreemptibleSpread::additionalOrdinary(const ByDomain &preemptible, int needed) const
{
    const int total = sumOf(preemptible);
    const int afterLoss = total - largestOf(preemptible);
    return std::max({0, needed - total,
                     roundedUp(settings_.capacityShareAfterSecondLoss * needed) - afterLoss});
}

PoolSize PreemptibleSpread::decide(const SizingInput &input) const
{
    const ByDomain preemptible = spread(input);
    ByDomain ready;
    int ordinaryReady = 0;
    for (const auto &[domain, count] : preemptible) {
        const auto found = input.endpointCounts.domains.find(domain);
        ready[domain]
            = found == input.endpointCounts.domains.end() ? 0 : found->second.preemptible.ready;
        ordinaryReady
            += found == input.endpointCounts.domains.end() ? 0 : found->second.ordinary.ready;
    }
    // Ordinary endpoints are removed only after preemptible ones have replaced them. None are
    // ordered to bridge the time until those start, as they would take as long to start.
    const int kept = std::min(ordinaryReady, additionalOrdinary(ready, input.needed));
    const int wanted = std::max(kept, additionalOrdinary(preemptible, input.needed));
    const ByDomain ordinary = placeOrdinary(input, preemptible, wanted);
    PoolSize size;
    for (const auto &[domain, count] : preemptible)
        size[domain] = {ordinary.at(domain), count};
    return size;
}

} // namespace monsoongrade::scaling
