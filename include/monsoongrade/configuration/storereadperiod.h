#ifndef MONSOONGRADE_CONFIGURATION_STOREREADPERIOD_H
#define MONSOONGRADE_CONFIGURATION_STOREREADPERIOD_H

#include <monsoongrade/units/clock.h>

#include <cstddef>

namespace monsoongrade::configuration {

// How long, on average, a daemon that does not watch the manifest waits between two reads of it.
// The reads are for the case that all news is lost to it, else it would stay behind for ever. The
// manifest is read whole, so above some hundred files the period grows with their number and the
// bytes a second stay the same. A daemon that is cut off from the others need not wait for it: it
// takes itself for the first of the fleet, and watches.
units::Duration storeReadPeriod(std::size_t files);

} // namespace monsoongrade::configuration

#endif // MONSOONGRADE_CONFIGURATION_STOREREADPERIOD_H
