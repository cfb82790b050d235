#include <rpc/internal/schedulerlinks.h>

#include <monsoongrade/membership/rendezvous.h>
#include <monsoongrade/observability/log.h>

#include <algorithm>

namespace monsoongrade::rpc::internal {

namespace {

using std::chrono::steady_clock;

constexpr units::Duration FirstAvoid = std::chrono::seconds(1);
constexpr int MaxAvoidDoublings = 5;
// Until membership says that it leaves. Passed over for longer, a scheduler that was restarted in
// its place got its routers back at different moments, up to ten seconds apart: meanwhile two
// schedulers granted the same slots, and with all of them passed over the routers took their own
// shares beside what was held. Endpoints got up to twice their slots for a planned stop.
constexpr auto AvoidLeaving = std::chrono::milliseconds(300);

bool isSame(const membership::Member &a, const membership::Member &b)
{
    return a.host == b.host && a.address == b.address;
}

} // namespace

SchedulerLinks::SchedulerLinks(RpcLoop &loop, const RpcSlotSourceSettings &settings,
                               observability::Metrics &metrics, kj::TaskSet &tasks,
                               std::function<void(const LinkPointer &)> gone)
    : loop_(loop)
    , settings_(settings)
    , metrics_(metrics)
    , gone_(std::move(gone))
    , lastHeartbeat_(steady_clock::now())
    , tasks_(tasks)
{
}

bool SchedulerLinks::setMembers(std::vector<membership::Member> members)
{
    std::sort(members.begin(), members.end(),
              [](const auto &a, const auto &b) { return a.host < b.host; });
    const bool same
        = std::equal(members.begin(), members.end(), members_.begin(), members_.end(), isSame);
    members_ = std::move(members);
    if (!same)
        orders_.clear();
    return !same;
}

LinkPointer SchedulerLinks::choose(const units::PoolName &pool, const LinkPointer &current)
{
    const bool currentServes = current && current->isOpen() && current->heard && !current->leaving;
    for (const auto &member : order(pool)) {
        if (isPassedOver(member))
            continue;
        LinkPointer link = linkTo(member);
        if (currentServes && link != current && !link->heard)
            continue;
        return link;
    }
    return nullptr;
}

const std::vector<membership::Member> &SchedulerLinks::order(const units::PoolName &pool)
{
    auto &order = orders_[pool];
    if (order.empty())
        order = membership::rendezvousOrder(pool.value(), members_);
    return order;
}

// Once its time is over it is asked for a sign of life, and stays passed over until it gives
// one: asks that were sent there instead would fail again with every trial.
bool SchedulerLinks::isPassedOver(const membership::Member &member)
{
    const auto avoided = avoided_.find(member.host);
    if (avoided == avoided_.end())
        return false;
    if (avoided->second.until <= steady_clock::now())
        linkTo(member);
    return true;
}

LinkPointer SchedulerLinks::linkTo(const membership::Member &member)
{
    const auto found = links_.find(member.host);
    if (found == links_.end())
        return open(member);
    if (isSame(found->second->scheduler, member))
        return found->second;
    close(LinkPointer(found->second));
    return open(member);
}

void SchedulerLinks::heard(const LinkPointer &link)
{
    link->hear(steady_clock::now());
    link->heard = true;
    if (!link->leaving)
        avoided_.erase(link->scheduler.host);
}

void SchedulerLinks::lost(const LinkPointer &link)
{
    if (!link->isOpen())
        return;
    metrics_.add("monsoongrade_scheduler_connections_lost_total");
    observability::log(observability::LogLevel::Warning, "scheduler-lost",
                       {{"scheduler", link->scheduler.host.value()}});
    if (!link->heard)
        avoid(link->scheduler.host);
    close(link);
    gone_(link);
}

void SchedulerLinks::leaving(const LinkPointer &link)
{
    if (link->leaving || !link->isOpen())
        return;
    link->leaving = true;
    metrics_.add("monsoongrade_scheduler_moves_total");
    observability::log(observability::LogLevel::Info, "scheduler-leaving",
                       {{"scheduler", link->scheduler.host.value()}});
    avoided_[link->scheduler.host] = {steady_clock::now() + AvoidLeaving, 0};
    gone_(link);
}

void SchedulerLinks::close(const LinkPointer &link)
{
    const auto found = links_.find(link->scheduler.host);
    if (found != links_.end() && found->second == link)
        links_.erase(found);
    // The caller may be one of this connection's own callbacks, which must end before it.
    if (link->isOpen())
        tasks_.add(kj::evalLater(
            [connection = std::move(link->connection)]() mutable { connection.reset(); }));
}

// A frozen scheduler closes no connection: the asks that wait there would wait for ever. Only
// what is awaited is timed. While slots are merely held nothing is: a sign of life from each
// scheduler twice a second was most of a router's control traffic, and membership watches the
// processes. After a pause of this process the answers are still unread, so that round judges
// nobody.
void SchedulerLinks::heartbeat()
{
    const units::TimePoint now = steady_clock::now();
    const bool paused = now - lastHeartbeat_ > settings_.silenceLimit / 2;
    lastHeartbeat_ = now;
    for (const LinkPointer &link : links()) {
        if (link->signAskedAt && paused)
            link->signAskedAt = now;
        if (link->signAskedAt && now - *link->signAskedAt > settings_.silenceLimit) {
            metrics_.add("monsoongrade_scheduler_silent_total");
            link->heard = false;
            lost(link);
            continue;
        }
        const units::TimePoint quietSince = std::max(link->lastHeard, link->awaitedSince);
        if (link->awaited > 0 && now - quietSince >= settings_.heartbeat)
            askForSign(link);
    }
}

void SchedulerLinks::askSuspected(const std::vector<membership::Member> &members)
{
    for (const membership::Member &member : members) {
        const auto found = links_.find(member.host);
        if (member.schedulerSuspected && found != links_.end() && found->second->held > 0)
            askForSign(found->second);
    }
}

std::vector<LinkPointer> SchedulerLinks::links() const
{
    std::vector<LinkPointer> out;
    for (const auto &entry : links_)
        out.push_back(entry.second);
    return out;
}

LinkPointer SchedulerLinks::open(const membership::Member &member)
{
    auto link = std::make_shared<SchedulerLink>();
    link->scheduler = member;
    link->lastHeard = steady_clock::now();
    link->connection = std::make_unique<SchedulerConnection>(
        loop_, settings_, member.address, [this, weak = std::weak_ptr<SchedulerLink>(link)] {
            if (const auto broken = weak.lock())
                lost(broken);
        });
    links_[member.host] = link;
    askForSign(link);
    return link;
}

void SchedulerLinks::askForSign(const LinkPointer &link)
{
    if (link->signAskedAt)
        return;
    link->signAskedAt = steady_clock::now();
    metrics_.add("monsoongrade_scheduler_signs_asked_total");
    ping(link);
}

// The scheduler keeps the last ping open and answers it when another one comes, when it wants a
// sign of life itself, or when it leaves. So one is always under way.
void SchedulerLinks::ping(const LinkPointer &link)
{
    ++link->pingsOpen;
    tasks_.add(link->connection->slots()
                   .pingRequest()
                   .send()
                   .then([this, link](auto response) {
                       --link->pingsOpen;
                       if (!link->isOpen())
                           return;
                       heard(link);
                       if (response.getLeaving())
                           leaving(link);
                       else if (link->pingsOpen == 0)
                           ping(link);
                   })
                   .catch_([this, link](kj::Exception &&) { lost(link); }));
}

void SchedulerLinks::avoid(const units::HostName &host)
{
    Avoided &avoided = avoided_[host];
    const int doublings = std::min(avoided.failures++, MaxAvoidDoublings);
    avoided.until = steady_clock::now() + FirstAvoid * (1 << doublings);
}

} // namespace monsoongrade::rpc::internal
