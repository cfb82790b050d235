#ifndef MONSOONGRADE_UNITS_WORKCOUNT_H
#define MONSOONGRADE_UNITS_WORKCOUNT_H

#include <cstdint>

namespace monsoongrade::units {

// Counts the hosts, endpoints or objects that an operation looks at, to tell how its cost grows
// with the fleet. Not thread-safe.
class WorkCount
{
public:
    void add(std::uint64_t looks = 1) { looks_ += looks; }
    std::uint64_t value() const { return looks_; }

private:
    std::uint64_t looks_ = 0;
};

} // namespace monsoongrade::units

#endif // MONSOONGRADE_UNITS_WORKCOUNT_H
