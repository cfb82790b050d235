#include <gateway/internal/packedmessage.h>
#include <gateway/internal/streamversionmessages.h>

#include <streamversions.capnp.h>

namespace monsoongrade::gateway::internal {

namespace {

using History = routing::PoolVersionHistory;

void write(const StreamBegunMessage &from, schema::StreamVersionMessage::Builder root)
{
    auto begun = root.initBegun();
    begun.setWorkspace(from.stream.workspace.value());
    begun.setRequest(from.stream.request.value());
    begun.setVersion(from.version.value());
}

void write(const StreamVersionQueryMessage &from, schema::StreamVersionMessage::Builder root)
{
    auto query = root.initQuery();
    query.setNumber(from.number);
    query.setWorkspace(from.stream.workspace.value());
    query.setRequest(from.stream.request.value());
    query.setPool(from.pool.value());
}

void write(const StreamVersionResponseMessage &from, schema::StreamVersionMessage::Builder root)
{
    auto response = root.initResponse();
    response.setNumber(from.number);
    response.setIsKnown(from.report.version.has_value());
    if (from.report.version)
        response.setVersion(from.report.version->value());
    response.setHistory(
        static_cast<schema::StreamVersionResponse::PoolHistory>(from.report.history.kind));
    response.setPoolVersion(from.report.history.version.value());
}

template <typename Reader>
routing::StreamIdentity streamOf(Reader message)
{
    return {units::WorkspaceName(message.getWorkspace()), units::RequestId(message.getRequest())};
}

StreamVersionResponseMessage read(schema::StreamVersionResponse::Reader response)
{
    StreamVersionResponseMessage message;
    message.number = response.getNumber();
    if (response.getIsKnown())
        message.report.version = units::SoftwareVersion(response.getVersion());
    const auto kind = static_cast<std::uint16_t>(response.getHistory());
    // A kind of a newer version is taken for several versions, which permits least.
    message.report.history.kind = kind > std::uint16_t(History::Kind::SeveralVersions)
        ? History::Kind::SeveralVersions
        : static_cast<History::Kind>(kind);
    message.report.history.version = units::SoftwareVersion(response.getPoolVersion());
    return message;
}

} // namespace

std::string encode(const StreamVersionMessage &message)
{
    capnp::MallocMessageBuilder builder;
    const auto root = builder.initRoot<schema::StreamVersionMessage>();
    std::visit([&](const auto &each) { write(each, root); }, message);
    return serializePacked(builder);
}

StreamVersionMessage decodeStreamVersionMessage(std::string_view datagram)
{
    PackedMessage message(datagram);
    const auto root = message.root<schema::StreamVersionMessage>();
    switch (root.which()) {
    case schema::StreamVersionMessage::BEGUN:
        return StreamBegunMessage{streamOf(root.getBegun()),
                                  units::SoftwareVersion(root.getBegun().getVersion())};
    case schema::StreamVersionMessage::QUERY:
        return StreamVersionQueryMessage{root.getQuery().getNumber(), streamOf(root.getQuery()),
                                         units::PoolName(root.getQuery().getPool())};
    case schema::StreamVersionMessage::RESPONSE:
        return read(root.getResponse());
    }
    KJ_FAIL_REQUIRE("unknown type of stream version message, sent by a newer version");
}

} // namespace monsoongrade::gateway::internal
