#ifndef MONSOONGRADE_SCHEDULING_SLOTLIMIT_H
#define MONSOONGRADE_SCHEDULING_SLOTLIMIT_H

#include <monsoongrade/units/clock.h>

namespace monsoongrade::scheduling {

// How many requests an endpoint may run at once: additive increase while its streams are about
// as fast as its peers', multiplicative decrease when they are slow. Works on speeds measured
// from finished answers, since load reports lag behind a slow engine by seconds.
//
// An endpoint that failed several times in a row or fell silent gets probing traffic only: one
// request at a time, with a pause that doubles. Without that an engine that fails at once would
// always look free and draw in every request of the cell. One finished probe ends the probing;
// the limit then grows by one an answer up to half of what it was, and slower from there.
class SlotLimit
{
public:
    void configure(int most);
    int current() const { return static_cast<int>(limit_); }
    bool isProbing() const { return probing_; }

    // An answer finished. The ratio is the endpoint's speed over that of its peers; 1 if there
    // are none to compare with.
    void completed(double speedRatio, units::TimePoint now);
    // The endpoint broke.
    void failed(units::TimePoint now);
    // A request was not run: refused by the endpoint, or left by its caller before. Since it may
    // be the latter, only several in a row count.
    void notRun(units::TimePoint now);
    // The endpoint has finished nothing for much longer than its answers should take.
    void silent(units::TimePoint now);

    // True if the endpoint may take one more request now.
    bool admits(int inFlight, units::TimePoint now) const;
    // Counts a request as the probe of this pause.
    void begun(units::TimePoint now);

private:
    void startProbing(units::TimePoint now);

    int most_ = 0;
    double limit_ = 1;
    double fastGrowthUpTo_ = 0;
    int failuresInRow_ = 0;
    bool probing_ = false;
    units::Duration pause_{};
    units::TimePoint nextProbe_{};
    units::TimePoint lastDecrease_{};
};

} // namespace monsoongrade::scheduling

#endif // MONSOONGRADE_SCHEDULING_SLOTLIMIT_H
