#ifndef MONSOONGRADE_SRC_GATEWAY_INTERNAL_PACKEDMESSAGE_H
#define MONSOONGRADE_SRC_GATEWAY_INTERNAL_PACKEDMESSAGE_H

#include <capnp/serialize-packed.h>
#include <kj/exception.h>

#include <optional>
#include <string>
#include <string_view>

namespace monsoongrade::gateway::internal {

// Serializes a message for one datagram, in Cap'n Proto's packed encoding.
inline std::string serializePacked(capnp::MessageBuilder &message)
{
    kj::VectorOutputStream out;
    capnp::writePackedMessage(out, message);
    const auto bytes = out.getArray();
    return {reinterpret_cast<const char *>(bytes.begin()), bytes.size()};
}

// A message in packed encoding. Throws kj::Exception if the datagram, which must outlive it, is
// none.
class PackedMessage
{
public:
    explicit PackedMessage(std::string_view datagram)
        : in_(kj::arrayPtr(reinterpret_cast<const kj::byte *>(datagram.data()), datagram.size()))
        , reader_(in_)
    {
    }

    template <typename Root>
    typename Root::Reader root()
    {
        return reader_.getRoot<Root>();
    }

private:
    kj::ArrayInputStream in_;
    capnp::PackedMessageReader reader_;
};

// Calls read. Returns why the message can't be read if it throws kj::Exception.
template <typename Read>
std::optional<std::string> readFault(Read &&read)
{
    const auto fault = kj::runCatchingExceptions(read);
    KJ_IF_MAYBE (exception, fault)
        return exception->getDescription().cStr();
    return std::nullopt;
}

} // namespace monsoongrade::gateway::internal

#endif // MONSOONGRADE_SRC_GATEWAY_INTERNAL_PACKEDMESSAGE_H
