#include "gatewayfixture.h"

#include <asio/read.hpp>
#include <doctest/doctest.h>

#include <algorithm>
#include <map>

using namespace monsoongrade;
using namespace monsoongrade::platform;
using std::chrono::milliseconds;

namespace {

// More than the sockets between an engine and a client that does not read can hold.
constexpr int Events = 1600;
constexpr std::size_t EventBytes = 8192;
constexpr int ReceiveBufferBytes = 64 * 1024;

std::string eventText(int number)
{
    return httpio::encodeChunk("id: " + std::to_string(number)
                               + "\ndata: " + std::string(EventBytes, 'x') + "\n\n");
}

// Two engines that send long streams as fast as they are read.
struct LongStreamsFixture : GatewayFixture
{
    LongStreamsFixture()
    {
        store.put("config", "main", operatorConfiguration());
        for (int i = 0; i < 2; ++i) {
            engines.push_back(std::make_unique<standins::RawPeer>(
                io, [this](standins::RawConnection &connection, const std::string &text, int) {
                    const int first
                        = std::atoi(standins::headerIn(text, "Last-Event-Id").c_str()) + 1;
                    std::string &unsent = unsent_[connection.shared_from_this()];
                    unsent = streamHead(standins::headerIn(text, "Attempt-Id"));
                    for (int number = first; number <= Events; ++number)
                        unsent += eventText(number);
                    unsent += "0\r\n\r\n";
                }));
            announce("e" + std::to_string(i), "model", engines.back()->address());
        }
        pump();
        start();
        REQUIRE(awaitServing(engines.size()));
    }
    int requests() const { return engines[0]->requests() + engines[1]->requests(); }

    std::vector<std::unique_ptr<standins::RawPeer>> engines;

private:
    void pump()
    {
        for (auto &[connection, unsent] : unsent_) {
            if (!unsent.empty() && !connection->isClosedByPeer())
                unsent.erase(0, connection->writeSome(unsent));
        }
        timers.after(milliseconds(1), [this] { pump(); });
    }

    std::map<std::shared_ptr<standins::RawConnection>, std::string> unsent_;
};

} // namespace

// Guards against taking a stream from a sound engine because its client does not read for a while.
TEST_CASE("SlowReaders.StreamStaysAtItsEngineWhileItsClientDoesNotRead")
{
    LongStreamsFixture fixture;
    asio::ip::tcp::socket client(fixture.io, asio::ip::tcp::v4());
    client.set_option(asio::socket_base::receive_buffer_size(ReceiveBufferBytes));
    client.connect(*httpio::parseAddress(fixture.settings.callersAddress));
    asio::write(client, asio::buffer(request("POST", "/resume/a", "id1", "b", StreamHeaders)));
    fixture.runFor(milliseconds(1200));
    CHECK(fixture.requests() == 1);

    std::string received;
    bool isOpen = true;
    std::string buffer(ReceiveBufferBytes, '\0');
    std::function<void()> read = [&] {
        client.async_read_some(asio::buffer(buffer),
                               [&](const asio::error_code &error, std::size_t count) {
                                   received.append(buffer, 0, count);
                                   isOpen = !error;
                                   if (isOpen)
                                       read();
                               });
    };
    read();
    const auto isComplete = [&] {
        return received.size() > 5 && received.compare(received.size() - 5, 5, "0\r\n\r\n") == 0;
    };
    CHECK(fixture.runUntil([&] { return isComplete() || !isOpen; }));
    CHECK(isComplete());
    CHECK(fixture.requests() == 1);
}
