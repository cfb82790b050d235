#include <requests/keyedworld.h>
#include <requests/violation.h>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <ostream>

namespace monsoongrade::requests {

std::ostream &operator<<(std::ostream &out, const KeyedCommand &command)
{
    return out << "{" << command.kind << ", " << command.router << ", " << command.which << "}";
}

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
        const std::string broken = violationAfter<KeyedWorld>(commands);
        if (!broken.empty())
            RC_FAIL(broken);
    }));
}

// The first router's queue was full, so nothing ran; a second router was told that it may take the
// claim over, and runs. A repeat at the first one must not run on the claim that it gave up.
TEST_CASE("KeyedRequests.GivenUpClaimIsNotUsedAgainByItsEarlierHolder")
{
    CHECK(violationAfter<KeyedWorld>({{KeyedCommand::Send, 0, 0},
                                      {KeyedCommand::Work, 0, 0},
                                      {KeyedCommand::RefuseAsk, 0, 0},
                                      {KeyedCommand::Send, 1, 0},
                                      {KeyedCommand::Work, 1, 0},
                                      {KeyedCommand::DeliverQuestion, 1, 0},
                                      {KeyedCommand::DeliverReply, 1, 0},
                                      {KeyedCommand::Work, 1, 0},
                                      {KeyedCommand::Grant, 1, 0},
                                      {KeyedCommand::Run, 1, 0},
                                      {KeyedCommand::Send, 0, 0}})
          == "");
}

// A router ran a key and forgot it when the time for answers was over. It reads its own name in
// the claim of a late repeat; that must not count as the right to run it again.
TEST_CASE("KeyedRequests.ForgottenKeyIsNotRunAgainByItsHolder")
{
    std::vector<KeyedCommand> commands{{KeyedCommand::Send, 0, 0},  {KeyedCommand::Work, 0, 0},
                                       {KeyedCommand::Grant, 0, 0}, {KeyedCommand::Finish, 0, 0},
                                       {KeyedCommand::Wait, 0, 7},  {KeyedCommand::Send, 0, 0},
                                       {KeyedCommand::Work, 0, 0}};
    CHECK(violationAfter<KeyedWorld>(commands) == "");
}

} // namespace monsoongrade::requests
