#include <monsoongrade/membership/endpointmarks.h>

namespace monsoongrade::membership {

namespace {

constexpr auto ReadAfterOverruling = std::chrono::seconds(15);
// The second read must come after the bound, also where daemons spread their reads.
constexpr auto BehindLagBound = std::chrono::seconds(10);

} // namespace

EndpointMarks::EndpointMarks(units::Duration listLagBound)
    : listLagBound_(listLagBound)
{
}

std::vector<EndpointMark> EndpointMarks::applyList(const std::vector<platform::Host> &hosts,
                                                   units::TimePoint now)
{
    std::vector<EndpointMark> changed;
    std::map<units::HostName, units::TimePoint> liveSince;
    listedLeaving_.clear();
    overruled_ = false;
    for (const platform::Host &host : hosts) {
        const bool isLeaving = host.state == platform::HostState::Leaving;
        const auto since = liveSince_.find(host.name);
        if (isLeaving)
            listedLeaving_.insert(host.name);
        else
            liveSince[host.name] = since == liveSince_.end() ? now : since->second;
        const auto known = marks_.find(host.name);
        const bool held = known != marks_.end() && known->second.state == EndpointState::Leaving;
        // Leaves for a second time before the first mark has gone: others may be about to end
        // the first, and a mark of the same epoch would go with it.
        const bool again = isLeaving && held && since != liveSince_.end();
        if (isLeaving == held && !again)
            continue;
        if (held && !isLeaving && now - liveSince[host.name] < listLagBound_)
            continue;
        EndpointMark &mark = marks_[host.name];
        mark.host = host.name;
        ++mark.epoch;
        mark.state = isLeaving ? EndpointState::Leaving : EndpointState::Live;
        changed.push_back(mark);
    }
    liveSince_ = std::move(liveSince);
    return changed;
}

bool EndpointMarks::setSuspected(const units::HostName &host, bool suspected)
{
    const auto known = marks_.find(host);
    const EndpointState now = known == marks_.end() ? EndpointState::Live : known->second.state;
    const EndpointState wanted = suspected ? EndpointState::Suspected : EndpointState::Live;
    if (now == EndpointState::Leaving || now == wanted)
        return false;
    EndpointMark &mark = marks_[host];
    mark.host = host;
    ++mark.epoch;
    mark.state = wanted;
    return true;
}

bool EndpointMarks::merge(const EndpointMark &news)
{
    const auto known = marks_.find(news.host);
    if (known != marks_.end() && !(known->second < news))
        return false;
    // Reads from before the news say nothing on the host as it is now.
    if (news.state == EndpointState::Leaving)
        liveSince_.erase(news.host);
    EndpointMark &mark = marks_[news.host];
    mark = news;
    if (news.state != EndpointState::Leaving && listedLeaving_.count(news.host) > 0) {
        ++mark.epoch;
        mark.state = EndpointState::Leaving;
        overruled_ = true;
    }
    return true;
}

std::optional<units::Duration> EndpointMarks::nextReadWithin() const
{
    if (overruled_)
        return ReadAfterOverruling;
    for (const auto &[host, mark] : marks_) {
        if (mark.state == EndpointState::Leaving && liveSince_.count(host) > 0)
            return listLagBound_ + BehindLagBound;
    }
    return std::nullopt;
}

std::set<units::HostName> EndpointMarks::leaving() const
{
    return withState(EndpointState::Leaving);
}

std::set<units::HostName> EndpointMarks::suspected() const
{
    return withState(EndpointState::Suspected);
}

std::set<units::HostName> EndpointMarks::withState(EndpointState state) const
{
    std::set<units::HostName> hosts;
    for (const auto &[host, mark] : marks_) {
        if (mark.state == state)
            hosts.insert(host);
    }
    return hosts;
}

} // namespace monsoongrade::membership
