#include <monsoongrade/rpc/rpckeyholders.h>

#include <rpc/peerfixture.h>

#include <doctest/doctest.h>

#include <future>
#include <thread>

namespace monsoongrade::rpc {

using requests::HolderQuestion;
using requests::HolderReply;

namespace {

constexpr auto Generous = std::chrono::seconds(10);

HolderQuestion questionTo(const std::string &holder)
{
    return {units::DaemonId(holder), units::WorkspaceName("shop"), units::IdempotencyKey("key"),
            "print"};
}

HolderReply askOnce(Daemon &asking, const std::string &address, const HolderQuestion &question)
{
    auto reply = std::make_shared<std::promise<HolderReply>>();
    std::future<HolderReply> future = reply->get_future();
    asking.client.askKey(recordOf(address), question,
                         [reply](const HolderReply &known) { reply->set_value(known); });
    REQUIRE(future.wait_for(Generous) == std::future_status::ready);
    return future.get();
}

} // namespace

// A caller repeats its key at another router while the first one still runs the request. The
// answer comes later, from another thread, and must reach the second caller whole.
TEST_CASE("KeyHolders.AnswerOfARunThatEndsLaterReachesTheAsker")
{
    Daemon holder("127.33.212.1", "cluster");
    Daemon asking("127.33.212.2", "cluster");
    std::thread run;
    holder.server.answerKeysWith([&run](const HolderQuestion &question, const auto &reply) {
        CHECK(question.workspace == units::WorkspaceName("shop"));
        CHECK(question.key == units::IdempotencyKey("key"));
        CHECK(question.fingerprint == "print");
        run = std::thread([reply] {
            HolderReply known;
            known.kind = HolderReply::Kind::Answered;
            known.status = 201;
            known.headers = {{"content-type", "text/plain"}};
            known.body = std::string("ab\0c", 4);
            reply(known);
        });
    });
    const HolderReply known = askOnce(asking, "127.33.212.1", questionTo("127.33.212.1"));
    run.join();
    CHECK(known.kind == HolderReply::Kind::Answered);
    CHECK(known.status == 201);
    CHECK(known.headers == endpoints::Headers{{"content-type", "text/plain"}});
    CHECK(known.body == std::string("ab\0c", 4));
}

// The holder was restarted. Its new life has never heard of the key; were it to answer "not used",
// the key would run a second time.
TEST_CASE("KeyHolders.AnotherLifeOfTheHolderDoesNotAnswerForIt")
{
    Daemon holder("127.33.213.1", "cluster");
    Daemon asking("127.33.213.2", "cluster");
    holder.server.answerKeysWith([](const HolderQuestion &, const auto &reply) {
        HolderReply known;
        known.kind = HolderReply::Kind::NotUsed;
        reply(known);
    });
    CHECK(askOnce(asking, "127.33.213.1", questionTo("an earlier life")).kind
          == HolderReply::Kind::Unreachable);
    CHECK(askOnce(asking, "127.33.213.1", questionTo("127.33.213.1")).kind
          == HolderReply::Kind::NotUsed);
}

TEST_CASE("KeyHolders.HolderThatIsGoneOrNotKnownIsUnreachable")
{
    Daemon asking("127.33.214.2", "cluster");
    CHECK(askOnce(asking, "127.33.214.1", questionTo("x")).kind == HolderReply::Kind::Unreachable);
    RpcKeyHolders holders(asking.loop, asking.client, asking.membership);
    std::promise<HolderReply> reply;
    holders.ask(questionTo("nowhere.router.1"),
                [&reply](const HolderReply &known) { reply.set_value(known); });
    CHECK(reply.get_future().get().kind == HolderReply::Kind::Unreachable);
}

} // namespace monsoongrade::rpc
