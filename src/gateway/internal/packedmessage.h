#ifndef MONSOONGRADE_SRC_GATEWAY_INTERNAL_PACKEDMESSAGE_H
#define MONSOONGRADE_SRC_GATEWAY_INTERNAL_PACKEDMESSAGE_H

#include <capnp/serialize-packed.h>

#include <string>

namespace monsoongrade::gateway::internal {

// Serializes a message for one datagram, in Cap'n Proto's packed encoding.
inline std::string serializePacked(capnp::MessageBuilder &message)
{
    kj::VectorOutputStream out;
    capnp::writePackedMessage(out, message);
    const auto bytes = out.getArray();
    return {reinterpret_cast<const char *>(bytes.begin()), bytes.size()};
}

} // namespace monsoongrade::gateway::internal

#endif // MONSOONGRADE_SRC_GATEWAY_INTERNAL_PACKEDMESSAGE_H
