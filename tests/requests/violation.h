#ifndef MONSOONGRADE_TESTS_REQUESTS_VIOLATION_H
#define MONSOONGRADE_TESTS_REQUESTS_VIOLATION_H

#include <string>
#include <vector>

namespace monsoongrade::requests {

// Applies the commands to a new world and lets it come to rest; the first promise that it finds
// broken, or an empty text.
template <typename World>
std::string violationAfter(const std::vector<typename World::Command> &commands)
{
    World world;
    for (const auto &command : commands) {
        world.apply(command);
        std::string broken = world.violation();
        if (!broken.empty())
            return broken;
    }
    world.settle();
    return world.violation();
}

} // namespace monsoongrade::requests

#endif // MONSOONGRADE_TESTS_REQUESTS_VIOLATION_H
