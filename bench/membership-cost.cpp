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

// Bytes of one host in the platform's answer.
constexpr std::size_t BytesPerListedHost = 120;
constexpr auto ListStep = 100ms;

// Each daemon reads the list when its protocol says so, as FleetWatcher does.
class ListReaders
{
public:
    explicit ListReaders(FakeFleet &fleet)
        : fleet_(fleet)
        , random_(1)
    {
        for (std::size_t i = 0; i < fleet.daemons().size(); ++i) {
            shares_.push_back(share(0, 1));
            lastReads_.push_back(fleet.clock().now());
        }
    }
    void run(units::Duration time)
    {
        for (auto left = time; left > 0s; left -= ListStep) {
            fleet_.run(ListStep);
            for (std::size_t i = 0; i < shares_.size(); ++i) {
                if (fleet_.clock().now() - lastReads_[i]
                    >= shares_[i] * fleet_.protocol(i).nextListRead())
                    read(i);
            }
        }
    }
    units::Duration runUntil(const std::function<bool()> &condition)
    {
        const auto begin = fleet_.clock().now();
        while (!condition() && fleet_.clock().now() - begin < 1h)
            run(ListStep);
        return fleet_.clock().now() - begin;
    }
    std::uint64_t reads = 0;

private:
    double share(double least, double most)
    {
        return std::uniform_real_distribution<double>(least, most)(random_);
    }
    void read(std::size_t i)
    {
        ++reads;
        fleet_.readList(i);
        lastReads_[i] = fleet_.clock().now();
        shares_[i] = share(0.9, 1.1);
    }

    FakeFleet &fleet_;
    std::mt19937 random_;
    std::vector<double> shares_;
    std::vector<units::TimePoint> lastReads_;
};

double seconds(units::Duration time)
{
    return std::chrono::duration<double>(time).count();
}

void measureList(std::size_t daemons, std::size_t endpointHosts)
{
    FakeFleet fleet(daemons);
    for (std::size_t i = 0; i < endpointHosts; ++i)
        fleet.endpoints.push_back({units::HostName("worker-" + std::to_string(i)), "127.33.1.1",
                                   units::FailureDomain(), platform::HostRole::Endpoint,
                                   platform::HostState::Live});
    fleet.run(20s);
    ListReaders readers(fleet);
    readers.run(900s);
    const auto bytes = [&](std::uint64_t reads, units::Duration time) {
        const std::size_t listed = endpointHosts + daemons / 2;
        return static_cast<double>(reads * listed * BytesPerListedHost) / seconds(time)
            / static_cast<double>(daemons);
    };
    readers.reads = 0;
    readers.run(600s);
    const double quiet = bytes(readers.reads, 600s);
    constexpr std::size_t Rounds = 5;
    units::Duration known{}, longestKnown{}, idle{}, longestIdle{};
    readers.reads = 0;
    const auto begin = fleet.clock().now();
    for (std::size_t round = 0; round < Rounds; ++round) {
        const auto holders = [&] {
            std::size_t count = 0;
            for (std::size_t i = 0; i < daemons; ++i)
                count += fleet.protocol(i).marks().leaving().empty() ? 0 : 1;
            return count;
        };
        fleet.endpoints[round].state = platform::HostState::Leaving;
        const auto spread = readers.runUntil([&] { return holders() == daemons; });
        readers.run(60s);
        fleet.endpoints[round].state = platform::HostState::Live;
        const auto free = readers.runUntil([&] { return holders() == 0; });
        known += spread / Rounds;
        idle += free / Rounds;
        longestKnown = std::max(longestKnown, spread);
        longestIdle = std::max(longestIdle, free);
    }
    std::printf("%7zu %6zu %10.0f %10.0f %8.1f %8.1f %8.0f %8.0f\n", daemons,
                endpointHosts + daemons / 2, quiet,
                bytes(readers.reads, fleet.clock().now() - begin), seconds(known),
                seconds(longestKnown), seconds(idle), seconds(longestIdle));
    std::fflush(stdout);
}

} // namespace

// Arguments: numbers of daemons; none means 8, 32, 128 and 390. Or "list": the reading of the
// platform's host list instead.
int main(int argc, char **argv)
{
    if (argc > 1 && std::string(argv[1]) == "list") {
        std::printf("The list has no lag; five endpoint hosts leave for a minute, one by one.\n"
                    "daemons  hosts  quiet B/s  then B/s  known, s  longest  idle, s  longest\n");
        for (const std::size_t size : {12U, 64U, 128U, 390U})
            measureList(size, size * 910 / 390);
        return 0;
    }
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
