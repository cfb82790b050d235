#include <monsoongrade/routing/performance/learnedendpointspeeds.h>

#include <algorithm>
#include <cmath>

namespace monsoongrade::routing::performance {

namespace {

// Shorter prefills are no samples: event transport and engine steps take several milliseconds.
constexpr double MinExpectedMs = 10;
// Prefills of this duration have weight 1: an error of 10 ms is then 10%.
constexpr double WeightOneMs = 100;
// Limits the influence of a single prefill that hangs. Endpoints under full load have only one
// sample a second; with twice the weight, differences above 10% are recognized there as well.
constexpr double MaxWeight = 2;
// With 20 entries in each datagram, the speeds of 100 endpoints are sent within 10 s. They are used
// only after the loss of a coordinator, and expire after 60 s.
constexpr auto SendInterval = std::chrono::seconds(2);
// A change of the speed by a quarter is reported.
constexpr double ReportedFactor = 1.25;

double inMilliseconds(units::Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

} // namespace

double LearnedEndpointSpeeds::relativeSpeed(const units::PoolName & /*pool*/,
                                            const DiscoveredEndpoint &endpoint,
                                            units::TimePoint now) const
{
    const Entry *entry = find(endpoint, now);
    return entry == nullptr ? 1 : entry->speed.effective(now);
}

bool LearnedEndpointSpeeds::isSlowNow(const DiscoveredEndpoint &endpoint,
                                      units::TimePoint now) const
{
    const Entry *entry = find(endpoint, now);
    return entry != nullptr && entry->speed.isSlowNow(now);
}

void LearnedEndpointSpeeds::onPrefillDone(const units::PoolName &pool,
                                          const DiscoveredEndpoint &endpoint, std::int64_t tokens,
                                          units::Duration took, units::Duration expected,
                                          units::TimePoint now)
{
    const double expectedMs = inMilliseconds(expected);
    if (tokens <= 0 || expectedMs < MinExpectedMs)
        return;
    Entry &entry = entries_[instanceOf(endpoint)];
    entry.speed.addSample(inMilliseconds(took) / expectedMs,
                          std::min(expectedMs / WeightOneMs, MaxWeight), now);
    entry.pool = pool;
    entry.isOwn = true;
    entry.hasNewSamples = true;
}

double LearnedEndpointSpeeds::speedRelativeToSampled(const units::PoolName &pool,
                                                     const DiscoveredEndpoint &endpoint,
                                                     units::TimePoint now) const
{
    // The mean of durations, as for the rate of the pool.
    double timesExpected = 0;
    int endpoints = 0;
    for (const auto &[instance, entry] : entries_) {
        if (entry.pool != pool || isExpired(entry, now))
            continue;
        timesExpected += 1 / entry.speed.steady();
        ++endpoints;
    }
    const double speed = relativeSpeed(pool, endpoint, now);
    return endpoints == 0 ? speed : speed * timesExpected / endpoints;
}

std::vector<LearnedSpeed> LearnedEndpointSpeeds::takeDue(std::size_t max, units::TimePoint now)
{
    if (now < nextSendAt_)
        return {};
    nextSendAt_ = now + SendInterval;
    removeExpired(now);
    std::vector<Entries::value_type *> due;
    for (auto &each : entries_) {
        const Entry &entry = each.second;
        if (entry.hasNewSamples && (entry.speed.steady() != 1 || entry.wasSentDifferent))
            due.push_back(&each);
    }
    std::sort(due.begin(), due.end(),
              [](const auto *a, const auto *b) { return a->second.sentAt < b->second.sentAt; });
    due.resize(std::min(due.size(), max));
    std::vector<LearnedSpeed> speeds;
    speeds.reserve(due.size());
    for (Entries::value_type *each : due) {
        Entry &entry = each->second;
        const double speed = entry.speed.steady();
        speeds.push_back(
            {each->first, speed, entry.speed.samples(), now - entry.speed.lastSampleAt()});
        entry.hasNewSamples = false;
        entry.wasSentDifferent = speed != 1;
        entry.sentAt = now;
    }
    return speeds;
}

void LearnedEndpointSpeeds::addReceived(const LearnedSpeed &speed, units::TimePoint now)
{
    const bool isValid = std::isfinite(speed.relativeSpeed) && speed.relativeSpeed > 0
        && speed.samples > 0 && speed.age >= units::Duration::zero()
        && speed.age < EndpointSpeed::Lifetime;
    if (!isValid)
        return;
    Entry &entry = entries_[speed.endpoint];
    const units::TimePoint sampledAt = now - speed.age;
    if (!isExpired(entry, now) && (entry.isOwn || entry.speed.lastSampleAt() > sampledAt))
        return;
    entry = {};
    entry.speed = EndpointSpeed(speed.relativeSpeed, speed.samples, sampledAt);
}

std::vector<LearnedSpeed> LearnedEndpointSpeeds::takeChanged(std::size_t max, units::TimePoint now)
{
    removeExpired(now);
    std::vector<LearnedSpeed> changed;
    for (auto &[instance, entry] : entries_) {
        if (changed.size() == max)
            break;
        const double speed = entry.speed.effective(now);
        const double change = speed / entry.reportedSpeed;
        if (!entry.isOwn || (change < ReportedFactor && change > 1 / ReportedFactor))
            continue;
        entry.reportedSpeed = speed;
        changed.push_back({instance, speed, entry.speed.samples(), now - entry.speed.lastSampleAt(),
                           entry.speed.isSlowNow(now)});
    }
    return changed;
}

std::optional<std::pair<double, double>> LearnedEndpointSpeeds::range(units::TimePoint now) const
{
    std::optional<std::pair<double, double>> range;
    for (const auto &[instance, entry] : entries_) {
        if (!entry.isOwn || isExpired(entry, now))
            continue;
        const double speed = entry.speed.effective(now);
        if (!range)
            range.emplace(speed, speed);
        range->first = std::min(range->first, speed);
        range->second = std::max(range->second, speed);
    }
    return range;
}

bool LearnedEndpointSpeeds::isExpired(const Entry &entry, units::TimePoint now)
{
    return entry.speed.samples() == 0
        || now - entry.speed.lastSampleAt() >= EndpointSpeed::Lifetime;
}

const LearnedEndpointSpeeds::Entry *LearnedEndpointSpeeds::find(const DiscoveredEndpoint &endpoint,
                                                                units::TimePoint now) const
{
    const auto found = entries_.find(instanceOf(endpoint));
    return found == entries_.end() || isExpired(found->second, now) ? nullptr : &found->second;
}

void LearnedEndpointSpeeds::removeExpired(units::TimePoint now)
{
    for (auto each = entries_.begin(); each != entries_.end();)
        each = isExpired(each->second, now) ? entries_.erase(each) : std::next(each);
}

} // namespace monsoongrade::routing::performance
