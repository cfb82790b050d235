#ifndef MONSOONGRADE_SCHEDULING_ANSWERTIMES_H
#define MONSOONGRADE_SCHEDULING_ANSWERTIMES_H

#include <monsoongrade/units/clock.h>
#include <monsoongrade/units/ids.h>

#include <map>

namespace monsoongrade::scheduling {

// How long the answers of a class take from grant to end, as a smoothed mean of those measured.
// Not worked out from estimated lengths: were these too long by a few times, every caller who says
// how long it stays would be refused, and its class would starve.
class AnswerTimes
{
public:
    void learn(const units::ClassName &className, units::Duration time);
    // Zero for a class of which no answer was seen: nobody is refused on a mere guess.
    units::Duration mean(const units::ClassName &className) const;

private:
    std::map<units::ClassName, double> seconds_;
};

} // namespace monsoongrade::scheduling

#endif // MONSOONGRADE_SCHEDULING_ANSWERTIMES_H
