#include <rpc/internal/keymessages.h>

namespace monsoongrade::rpc::internal {

using requests::HolderQuestion;
using requests::HolderReply;

void write(schema::KeyQuestion::Builder out, const HolderQuestion &question)
{
    out.setHolder(question.holder.value());
    out.setWorkspace(question.workspace.value());
    out.setKey(question.key.value());
    out.setFingerprint(question.fingerprint);
}

HolderQuestion read(schema::KeyQuestion::Reader in)
{
    HolderQuestion question;
    question.holder = units::DaemonId(in.getHolder());
    question.workspace = units::WorkspaceName(in.getWorkspace());
    question.key = units::IdempotencyKey(in.getKey());
    question.fingerprint = in.getFingerprint();
    return question;
}

void write(schema::KeyReply::Builder out, const HolderReply &reply)
{
    out.setKind(static_cast<std::uint8_t>(reply.kind));
    out.setStatus(static_cast<std::uint16_t>(reply.status));
    auto headers = out.initHeaders(static_cast<unsigned>(reply.headers.size()));
    for (unsigned i = 0; i < headers.size(); ++i) {
        headers[i].setName(reply.headers[i].first);
        headers[i].setValue(reply.headers[i].second);
    }
    out.setBody(
        kj::arrayPtr(reinterpret_cast<const kj::byte *>(reply.body.data()), reply.body.size()));
}

HolderReply read(schema::KeyReply::Reader in)
{
    HolderReply reply;
    if (in.getKind() > static_cast<std::uint8_t>(HolderReply::Kind::Unreachable))
        return reply;
    reply.kind = static_cast<HolderReply::Kind>(in.getKind());
    reply.status = in.getStatus();
    for (const auto header : in.getHeaders())
        reply.headers.emplace_back(header.getName(), header.getValue());
    const auto body = in.getBody();
    reply.body.assign(reinterpret_cast<const char *>(body.begin()), body.size());
    return reply;
}

} // namespace monsoongrade::rpc::internal
