#ifndef MONSOONGRADE_SRC_GATEWAY_INTERNAL_PACKEDMESSAGE_H
#define MONSOONGRADE_SRC_GATEWAY_INTERNAL_PACKEDMESSAGE_H

#include <capnp/serialize-packed.h>

#include <string>

namespace monsoongrade::gateway::internal {

// The bytes of a message in Cap'n Proto's packed encoding, for one datagram.
inline std::string packed(capnp::MessageBuilder &message)
{
    kj::VectorOutputStream out;
    capnp::writePackedMessage(out, message);
    const auto bytes = out.getArray();
    return {reinterpret_cast<const char *>(bytes.begin()), bytes.size()};
}

} // namespace monsoongrade::gateway::internal

#endif // MONSOONGRADE_SRC_GATEWAY_INTERNAL_PACKEDMESSAGE_H
