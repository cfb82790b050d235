#include <monsoongrade/routing/coordinatorselector.h>

namespace monsoongrade::routing {

namespace {

// Two timeouts of 25 ms, less the tolerance for a late timer.
constexpr auto MaxSilence = std::chrono::milliseconds(45);
constexpr auto SkipFor = std::chrono::seconds(1);

} // namespace

void CoordinatorSelector::onAnswer(const std::string &host)
{
    hosts_[host].unansweredSince.reset();
}

bool CoordinatorSelector::onAnswerOverdue(const std::string &host, units::TimePoint queriedAt,
                                          units::TimePoint now)
{
    HostState &state = hosts_[host];
    if (!state.unansweredSince)
        state.unansweredSince = queriedAt;
    if (now - *state.unansweredSince < MaxSilence)
        return false;
    state = {std::nullopt, now + SkipFor};
    return true;
}

std::string CoordinatorSelector::selectHost(const std::vector<std::string> &order,
                                            const std::string &own, units::TimePoint now) const
{
    for (const std::string &host : order) {
        if (host == own)
            return {};
        const auto state = hosts_.find(host);
        if (state == hosts_.end() || now >= state->second.skipUntil)
            return host;
    }
    return {};
}

} // namespace monsoongrade::routing
