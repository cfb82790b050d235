#ifndef MONSOONGRADE_DUTIES_WALLTIMEESTIMATE_H
#define MONSOONGRADE_DUTIES_WALLTIMEESTIMATE_H

#include <monsoongrade/units/clock.h>

#include <chrono>
#include <map>
#include <string>

namespace monsoongrade::duties {

// Time of day.
using WallTime = std::chrono::time_point<std::chrono::system_clock, units::Duration>;

// The time of day on which most hosts agree. The clock of a host may step by seconds; usage counted
// by it would fall into another window. Keeps how far the time of day of each host heard of lately
// is from this host's boot clock, and takes the median.
class WallTimeEstimate
{
public:
    // What a host's clock showed; host is empty for this one. A datagram that took long to arrive
    // makes it look slow, so the fastest sample of a host counts for a while.
    void onSample(const std::string &host, WallTime shown, units::TimePoint now);
    // The agreed time of day; there must have been a sample.
    WallTime at(units::TimePoint now) const;

private:
    struct Sample
    {
        units::Duration ahead{}; // of the boot clock
        units::TimePoint takenAt;
    };

    std::map<std::string, Sample> samples_;
};

} // namespace monsoongrade::duties

#endif // MONSOONGRADE_DUTIES_WALLTIMEESTIMATE_H
