#ifndef MONSOONGRADE_GATEWAY_INTERNAL_MILLISECONDS_H
#define MONSOONGRADE_GATEWAY_INTERNAL_MILLISECONDS_H

#include <monsoongrade/units/clock.h>

#include <chrono>
#include <cstdint>

namespace monsoongrade::gateway::internal {

// Whole milliseconds, as log fields show them.
inline std::int64_t inMilliseconds(units::Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace monsoongrade::gateway::internal

#endif // MONSOONGRADE_GATEWAY_INTERNAL_MILLISECONDS_H
