#ifndef MONSOONGRADE_UNITS_JITTER_H
#define MONSOONGRADE_UNITS_JITTER_H

#include <monsoongrade/units/ids.h>

namespace monsoongrade::units {

// From 0 up to and without 1, the same for the same request. Spreads what would else happen to
// many requests at one moment.
double jitterOf(const RequestId &request);

} // namespace monsoongrade::units

#endif // MONSOONGRADE_UNITS_JITTER_H
