#include <membership/fakefleet.h>
#include <rpc/internal/peermessages.h>

#include <capnp/message.h>
#include <capnp/serialize.h>

#include <cstdio>
#include <cstdlib>

namespace {

using namespace monsoongrade;
using namespace monsoongrade::membership;

// A call with its return and finish, each in a packet of its own, with TCP's and IP's headers
// and acknowledgements; the news within the messages are measured.
constexpr std::size_t BytesPerExchange = 600;
constexpr auto MeasuredTime = 120s;

struct Traffic
{
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
};

std::size_t encodedBytes(const PeerMessage &message)
{
    capnp::MallocMessageBuilder builder;
    rpc::internal::write(builder.initRoot<schema::PeerNews>(), message);
    return capnp::computeSerializedSizeInWords(builder) * sizeof(capnp::word);
}

bool isAnswer(const PeerMessage &message)
{
    return message.kind == PeerMessageKind::Ack || message.kind == PeerMessageKind::SyncAnswer;
}

// Suspicions of daemons that run and are reachable.
std::uint64_t suspicions(FakeFleet &fleet)
{
    std::uint64_t sum = 0;
    for (const auto &entry : fleet.daemons())
        sum += entry.second.protocol->counters().suspicions;
    return sum;
}

void measure(std::size_t daemons, double loss)
{
    FakeFleet fleet(daemons);
    Traffic traffic;
    fleet.onSend = [&traffic](const PeerMessage &message) {
        ++traffic.messages;
        traffic.bytes += encodedBytes(message) + (isAnswer(message) ? 0 : BytesPerExchange);
    };
    fleet.run(20s);
    const double start = static_cast<double>(traffic.bytes) / static_cast<double>(daemons);
    fleet.faults.loss = loss;
    traffic = {};
    const std::uint64_t before = suspicions(fleet);
    fleet.run(MeasuredTime);
    const double perDaemonSecond
        = static_cast<double>(daemons) * std::chrono::duration<double>(MeasuredTime).count();
    const double messages = static_cast<double>(traffic.messages) / perDaemonSecond;
    const double bytes = static_cast<double>(traffic.bytes) / perDaemonSecond;
    const std::uint64_t wrong = suspicions(fleet) - before;
    fleet.protocol(0).leave();
    const auto spread = fleet.runUntil(
        [&] {
            return fleet.all(0, [&](std::size_t i) {
                const MemberRecord *record = fleet.protocol(i).find(FakeFleet::id(0));
                return record != nullptr && record->leaving;
            });
        },
        30s);
    std::printf("%7zu %5.0f%% %10.1f %10.0f %12.0f %10.2f %10llu %12.0f\n", daemons, loss * 100,
                messages, bytes, bytes * 2, std::chrono::duration<double>(spread).count(),
                static_cast<unsigned long long>(wrong), start);
    std::fflush(stdout);
}

} // namespace

// Arguments: numbers of daemons; none means 8, 32, 128 and 390.
int main(int argc, char **argv)
{
    std::vector<std::size_t> sizes{8, 32, 128, 390};
    if (argc > 1)
        sizes.clear();
    for (int i = 1; i < argc; ++i)
        sizes.push_back(std::strtoul(argv[i], nullptr, 10));
    std::printf("Membership on a network in memory, %d s each, one-way delay 2 to 5 ms.\n",
                static_cast<int>(MeasuredTime.count()));
    std::printf(
        "daemons  loss messages/s    B/s sent B/s in + out leave, s  suspicions  B at start\n");
    for (const std::size_t size : sizes) {
        for (const double loss : {0.0, 0.01, 0.05})
            measure(size, loss);
    }
    std::printf("A member's state: %zu bytes and its texts.\n",
                sizeof(MemberRecord) + sizeof(units::TimePoint) + 48);
    return 0;
}
