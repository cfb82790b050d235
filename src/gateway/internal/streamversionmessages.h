#ifndef MONSOONGRADE_SRC_GATEWAY_INTERNAL_STREAMVERSIONMESSAGES_H
#define MONSOONGRADE_SRC_GATEWAY_INTERNAL_STREAMVERSIONMESSAGES_H

#include <monsoongrade/routing/streamidentity.h>
#include <monsoongrade/routing/streamversionreport.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace monsoongrade::gateway::internal {

// Datagrams between hosts about the software versions at which streams began, as defined in
// schema/streamversions.capnp. Numbers are assigned by the asking host.

struct StreamBegunMessage
{
    routing::StreamIdentity stream;
    units::SoftwareVersion version;
};

struct StreamVersionQueryMessage
{
    std::uint64_t number = 0;
    routing::StreamIdentity stream;
    units::PoolName pool;
};

struct StreamVersionResponseMessage
{
    std::uint64_t number = 0;
    routing::StreamVersionReport report;
};

using StreamVersionMessage
    = std::variant<StreamBegunMessage, StreamVersionQueryMessage, StreamVersionResponseMessage>;

std::string encode(const StreamVersionMessage &message);
// Throws kj::Exception if the datagram is not such a message.
StreamVersionMessage decodeStreamVersionMessage(std::string_view datagram);

} // namespace monsoongrade::gateway::internal

#endif // MONSOONGRADE_SRC_GATEWAY_INTERNAL_STREAMVERSIONMESSAGES_H
