#include <rpc/peerfixture.h>

#include <mutation.h>

#include <asio.hpp>
#include <capnp/message.h>
#include <capnp/rpc.capnp.h>
#include <capnp/serialize.h>
#include <doctest/doctest.h>
#include <rapidcheck.h>

// Whoever reaches a daemon's RPC port may send anything; a scanner or a broken peer must not end
// the daemon, and its own peers must be served as before.

namespace monsoongrade::rpc {

namespace {

constexpr std::uint16_t Port = 17101;

std::string bytesOf(capnp::MessageBuilder &message)
{
    const auto words = capnp::messageToFlatArray(message);
    const auto bytes = words.asBytes();
    return {reinterpret_cast<const char *>(bytes.begin()), bytes.size()};
}

// What a peer sends first, and then a call with wild numbers on what it asked for.
std::string conversation()
{
    capnp::MallocMessageBuilder first;
    first.initRoot<capnp::rpc::Message>().initBootstrap().setQuestionId(0);
    capnp::MallocMessageBuilder second;
    auto call = second.initRoot<capnp::rpc::Message>().initCall();
    call.setQuestionId(1);
    call.initTarget().initPromisedAnswer().setQuestionId(0);
    call.setInterfaceId(0x1234567890abcdef);
    call.setMethodId(3);
    call.initParams();
    return bytesOf(first) + bytesOf(second);
}

void send(const std::string &address, const std::string &bytes)
{
    asio::io_context io;
    asio::ip::tcp::socket socket(io);
    socket.connect({asio::ip::make_address(address), Port});
    asio::error_code error;
    asio::write(socket, asio::buffer(bytes), error);
    socket.shutdown(asio::ip::tcp::socket::shutdown_send, error);
    // Until the daemon has closed its side too, so that it has taken in all of it.
    std::string answer;
    asio::read(socket, asio::dynamic_buffer(answer), error);
}

} // namespace

TEST_CASE("Rpc.AnyBytesEndTheirConnectionOnly")
{
    Daemon asked("127.33.205.1", "cluster");
    Daemon asking("127.33.205.2", "cluster");
    configuration::ManifestContents contents;
    contents.manifest.generation = units::Generation(4);
    asked.contents.put(contents);
    const std::string valid = conversation();
    CHECK(rc::check("any bytes", [&] {
        const std::string text = tests::mutated(valid);
        const auto length = *rc::gen::inRange<std::size_t>(0, 2 * text.size());
        send("127.33.205.1", text.substr(0, length));
        RC_ASSERT(asking.fetchFrom("127.33.205.1", 0, {}).value);
    }));
    // Announces four gigabytes, or millions of segments.
    send("127.33.205.1", std::string("\0\0\0\0\xff\xff\xff\x1f", 8));
    send("127.33.205.1", std::string(64, '\xff'));
    CHECK(asking.fetchFrom("127.33.205.1", 0, {}).value);
}

} // namespace monsoongrade::rpc
