#include <scheduling/cellcommands.h>

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace rc {

template <>
struct Arbitrary<monsoongrade::scheduling::CellCommand>
{
    static Gen<monsoongrade::scheduling::CellCommand> arbitrary()
    {
        using Kind = monsoongrade::scheduling::CellCommandKind;
        using Command = monsoongrade::scheduling::CellCommand;
        const auto kind = gen::weightedElement<Kind>({{40, Kind::Ask},
                                                      {2, Kind::AskAgain},
                                                      {4, Kind::Cancel},
                                                      {25, Kind::Release},
                                                      {12, Kind::Tick},
                                                      {1, Kind::RouterLost},
                                                      {2, Kind::Adopt},
                                                      {2, Kind::Leaving},
                                                      {2, Kind::Suspected},
                                                      {2, Kind::Configure}});
        return gen::build<Command>(gen::set(&Command::kind, kind),
                                   gen::set(&Command::what, gen::inRange(0u, 1000u)),
                                   gen::set(&Command::how, gen::inRange(0u, 1000u)));
    }
};

} // namespace rc

namespace monsoongrade::scheduling {

namespace {

constexpr int MostCommands = 400;

} // namespace

// Callers ask, leave and finish through three routers while endpoints come, go and fail, routers
// die and the configuration changes. Whatever the order, each ask gets one decision, slots are
// not exceeded, no higher tier loses to a lower one but by the guaranteed share, and every
// refusal says when to come back.
TEST_CASE("CellScheduler.KeepsItsPromisesUnderAnyCommands")
{
    CHECK(rc::check("any commands", [] {
        const auto commands
            = *rc::gen::resize(MostCommands, rc::gen::arbitrary<std::vector<CellCommand>>());
        CellCommandRunner runner;
        for (const CellCommand &command : commands) {
            runner.run(command);
            RC_ASSERT(runner.oracle().broken == std::vector<std::string>());
        }
        runner.finish();
        RC_ASSERT(runner.oracle().broken == std::vector<std::string>());
    }));
}

// Callers' requests reach a dead host: it was suspected, then taken out of the configuration and
// put back, and the mark went with the entry. Found by the search above.
TEST_CASE("CellScheduler.KeepsTheMarksOfAnEndpointThatWasAwayFromTheConfiguration")
{
    CellCommandRunner runner;
    for (const CellCommand &command : {CellCommand{CellCommandKind::Suspected, 191, 0},
                                       {CellCommandKind::Configure, 0, 0},
                                       {CellCommandKind::Configure, 32, 0},
                                       {CellCommandKind::Ask, 0, 0}})
        runner.run(command);
    CHECK(runner.oracle().broken == std::vector<std::string>());
}

} // namespace monsoongrade::scheduling
