#include <monsoongrade/rpc/rpckeyholders.h>

#include <rpc/internal/routerid.h>

#include <optional>

namespace monsoongrade::rpc {

namespace {

using membership::MemberRecord;

std::optional<MemberRecord> findRouter(const std::vector<MemberRecord> &members,
                                       const units::DaemonId &router)
{
    for (const MemberRecord &record : members) {
        if (record.id.role == membership::DaemonRole::Router
            && internal::isRouterOf(record.id.host, router))
            return record;
    }
    return std::nullopt;
}

} // namespace

RpcKeyHolders::RpcKeyHolders(RpcLoop &loop, PeerClient &client, membership::Membership &membership)
    : loop_(loop)
    , client_(client)
    , membership_(membership)
{
}

void RpcKeyHolders::ask(const requests::HolderQuestion &question, ReplyHandler reply)
{
    const auto holder = findRouter(membership_.members(), question.holder);
    if (holder)
        client_.askKey(*holder, question, std::move(reply));
    else
        loop_.post([reply = std::move(reply)] { reply(requests::HolderReply()); });
}

} // namespace monsoongrade::rpc
