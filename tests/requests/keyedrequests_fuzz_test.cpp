#include <requests/keyedworld.h>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <ostream>

namespace monsoongrade::requests {

std::ostream &operator<<(std::ostream &out, const KeyedCommand &command)
{
    return out << "{" << command.kind << ", " << command.router << ", " << command.which << "}";
}

namespace {

std::string run(const std::vector<KeyedCommand> &commands)
{
    KeyedWorld world;
    for (const KeyedCommand &command : commands) {
        world.apply(command);
        std::string broken = world.violation();
        if (!broken.empty())
            return broken;
    }
    world.settle();
    return world.violation();
}

} // namespace

// Callers repeat their keys at three routers at the same moment. The store is down, loses replies
// or applies a write later; routers freeze between claim and call and restart; questions between
// routers are lost. Each key must run at most once, and all who get its answer get the same one.
TEST_CASE("KeyedRequests.RunEachKeyAtMostOnceUnderRandomFaults")
{
    CHECK(rc::check([] {
        const auto command = rc::gen::construct<KeyedCommand>(
            rc::gen::inRange(0, static_cast<int>(KeyedCommand::KindCount)), rc::gen::inRange(0, 3),
            rc::gen::inRange(0, 8));
        const auto commands
            = *rc::gen::resize(250, rc::gen::container<std::vector<KeyedCommand>>(command));
        const std::string broken = run(commands);
        if (!broken.empty())
            RC_FAIL(broken);
    }));
}

} // namespace monsoongrade::requests
