#include <requests/flowworld.h>
#include <requests/violation.h>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <ostream>

namespace monsoongrade::requests {

std::ostream &operator<<(std::ostream &out, const FlowCommand &command)
{
    return out << "{" << command.kind << ", " << command.which << "}";
}

// Callers start, leave and read slowly; slots are granted late, also after the caller left;
// endpoints refuse, run, break at any point, and their events arrive after they were given up.
// Each caller must get the events of one run of its own request or an explicit error; runs, slots
// and accounts must add up, whatever the order.
TEST_CASE("RequestFlow.KeepsItsPromisesUnderRandomFaults")
{
    CHECK(rc::check([] {
        const auto command = rc::gen::construct<FlowCommand>(
            rc::gen::inRange(0, static_cast<int>(FlowCommand::KindCount)), rc::gen::inRange(0, 12));
        const auto commands
            = *rc::gen::resize(200, rc::gen::container<std::vector<FlowCommand>>(command));
        const std::string broken = violationAfter<FlowWorld>(commands);
        if (!broken.empty())
            RC_FAIL(broken);
    }));
}

// The caller of an idempotent request gets a refusal. Its first endpoint began to run it and died;
// the second ask found the queue full. "not run" would be untrue of the first call.
TEST_CASE("RequestFlow.RefusalOfARetryIsNotSaidToBeNotRun")
{
    CHECK(violationAfter<FlowWorld>({{FlowCommand::StartIdempotent, 0},
                                     {FlowCommand::Grant, 0},
                                     {FlowCommand::Break, 0},
                                     {FlowCommand::Wait, 0},
                                     {FlowCommand::RefuseAsk, 0}})
          == "");
}

// The caller reads a stream that the endpoint breaks in the middle of an event. Half an event
// glued to the error event behind it could not be read as either.
TEST_CASE("RequestFlow.HalfEventIsNotGivenToTheCaller")
{
    for (const int start : {FlowCommand::StartIdempotent, FlowCommand::StartResumable})
        CHECK(violationAfter<FlowWorld>(
                  {{start, 0}, {FlowCommand::Grant, 0}, {FlowCommand::SendHalfEvent, 0}})
              == "");
}

} // namespace monsoongrade::requests
