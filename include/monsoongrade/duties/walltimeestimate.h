#ifndef MONSOONGRADE_DUTIES_WALLTIMEESTIMATE_H
#define MONSOONGRADE_DUTIES_WALLTIMEESTIMATE_H

#include <monsoongrade/units/wallclock.h>

#include <chrono>
#include <map>
#include <string>

namespace monsoongrade::duties {

using units::WallTime;

// Estimates the wall-clock time on which most hosts agree. A host's own wall clock may step by
// seconds, which would count usage in the wrong window, or mistake an endpoint's start for a later
// one. Keeps the offset of the wall clock of each
// host heard from recently, relative to this host's boot clock, and uses the median.
class WallTimeEstimate : public units::WallClock
{
public:
    // Adds a reading of a host's wall clock. Network delay makes a clock look slow, so the largest
    // offset of a host is kept for a while.
    void onSample(const std::string &host, WallTime shown, units::TimePoint now);
    // The estimated time; requires at least one sample.
    WallTime at(units::TimePoint time) const override;

private:
    struct Sample
    {
        units::Duration offset{}; // of the wall clock, relative to the boot clock
        units::TimePoint takenAt;
    };

    std::map<std::string, Sample> samples_;
};

} // namespace monsoongrade::duties

#endif // MONSOONGRADE_DUTIES_WALLTIMEESTIMATE_H
