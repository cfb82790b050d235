#ifndef MONSOONGRADE_SRC_STANDINS_INTERNAL_ENGINESWITCHES_H
#define MONSOONGRADE_SRC_STANDINS_INTERNAL_ENGINESWITCHES_H

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace monsoongrade::standins::internal {

// The faults of the engine stand-in, as they are switched at run time.
struct EngineSwitches
{
    double slow = 1;
    bool frozen = false;
    std::int64_t crashAfterTokens = 0;
    bool refuse = false;
    // "before" or "after" the request was read; empty is none.
    std::string reset;
    // Resets left; negative is without end.
    std::int64_t resetNext = -1;
    bool draining = false;
    std::chrono::milliseconds loadLag{0};
    // Every stream breaks off now.
    bool crash = false;

    // True where this request is to be reset; counts it.
    bool takeReset();
    // These switches with those changed that the JSON text names; nothing if it can't be read.
    std::optional<EngineSwitches> changedBy(const std::string &text) const;
};

} // namespace monsoongrade::standins::internal

#endif // MONSOONGRADE_SRC_STANDINS_INTERNAL_ENGINESWITCHES_H
