#include <monsoongrade/gateway/dutyservice.h>

#include <monsoongrade/duties/dutyhosts.h>

#include <algorithm>

namespace monsoongrade::gateway {

namespace {

constexpr auto RoundInterval = std::chrono::milliseconds(100);

} // namespace

DutyService::DutyService(httpio::Timers &timers, Gateway &gateway, duties::LeaseStore &lease,
                         duties::UsageReportStore &reports, duties::DutyPlatform &platform,
                         const units::Clock &clock)
    : timers_(timers)
    , gateway_(gateway)
    , holder_({gateway.state().usage->ledger().self(), gateway.settings().leaseDuration,
               gateway.settings().leaseDuration},
              lease, clock)
    , usage_(gateway.state().usage->windows(), gateway.state().usage->ledger(),
             gateway.state().usage->wallTime(), reports, platform, clock)
{
    holder_.add(usage_);
}

void DutyService::stop()
{
    isStopping_ = true;
    holder_.stop();
    gateway_.setDutyToken(holder_.tokenInForce().value());
}

void DutyService::round()
{
    const std::vector<std::string> candidates = duties::dutyCandidates(gateway_.hosts());
    const bool isCandidate = !isStopping_
        && std::find(candidates.begin(), candidates.end(), gateway_.settings().ip)
            != candidates.end();
    holder_.run(isCandidate);
    gateway_.setDutyToken(holder_.tokenInForce().value());
    timers_.after(RoundInterval, [this] { round(); });
}

} // namespace monsoongrade::gateway
