#include <monsoongrade/routing/coordinatorselector.h>

namespace monsoongrade::routing {

namespace {

// Two timeouts of 25 ms, less what a late timer may take off the second.
constexpr auto SilenceOfLostHost = std::chrono::milliseconds(45);
constexpr auto AvoidFor = std::chrono::seconds(1);

} // namespace

void CoordinatorSelector::onAnswer(const std::string &host)
{
    hosts_[host].silentSince.reset();
}

bool CoordinatorSelector::onAnswerOverdue(const std::string &host, units::TimePoint asked,
                                          units::TimePoint now)
{
    Trust &trust = hosts_[host];
    if (!trust.silentSince)
        trust.silentSince = asked;
    if (now - *trust.silentSince < SilenceOfLostHost)
        return false;
    trust = {std::nullopt, now + AvoidFor};
    return true;
}

std::string CoordinatorSelector::selectHost(const std::vector<std::string> &order,
                                            const std::string &own, units::TimePoint now) const
{
    for (const std::string &host : order) {
        if (host == own)
            return {};
        const auto trust = hosts_.find(host);
        if (trust == hosts_.end() || now >= trust->second.avoidUntil)
            return host;
    }
    return {};
}

} // namespace monsoongrade::routing
