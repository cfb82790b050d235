#include <monsoongrade/gateway/usagemeter.h>

#include <gateway/internal/packedmessage.h>

#include <monsoongrade/duties/dutyhosts.h>
#include <monsoongrade/observability/log.h>

#include <usage.capnp.h>

#include <algorithm>
#include <random>

namespace monsoongrade::gateway {

namespace {

// Keeps a datagram within one packet.
constexpr std::size_t MaxEntries = 50;
constexpr std::size_t MaxDatagramBytes = 4096;

// Returns a new id for each run of the process, whose counts start at zero.
std::string newSourceId(const std::string &ip)
{
    std::random_device random;
    return ip + "/" + std::to_string(random());
}

std::string encode(const std::string &reporter, const duties::UsageEntry *first,
                   const duties::UsageEntry *last)
{
    std::map<duties::WindowNumber, std::vector<const duties::UsageEntry *>> byWindow;
    for (const duties::UsageEntry *entry = first; entry != last; ++entry)
        byWindow[entry->window].push_back(entry);
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<schema::UsageNews>();
    root.setReporter(reporter);
    auto windows = root.initWindows(unsigned(byWindow.size()));
    unsigned w = 0;
    for (const auto &[number, entries] : byWindow) {
        auto window = windows[w++];
        window.setNumber(number.value());
        auto counts = window.initCounts(unsigned(entries.size()));
        for (std::size_t i = 0; i < entries.size(); ++i) {
            counts[unsigned(i)].setWorkspace(entries[i]->workspace.value());
            counts[unsigned(i)].setTotal(std::uint32_t(entries[i]->total));
        }
    }
    return internal::serializePacked(message);
}

} // namespace

UsageMeter::UsageMeter(asio::io_context &io, httpio::Timers &timers, Settings settings,
                       const units::WallClock &wallClock,
                       std::function<std::vector<routing::PeerUpdate>()> hosts)
    : socket_(io, settings.ownIp, settings.port, MaxDatagramBytes,
              DatagramSocket::AddressReuse::Allowed)
    , timers_(timers)
    , settings_(std::move(settings))
    , wallClock_(wallClock)
    , hosts_(std::move(hosts))
    , ledger_(newSourceId(settings_.ownIp))
    , publisher_(settings_.ownIp)
{
}

void UsageMeter::start()
{
    socket_.receive([this](std::string_view datagram, const asio::ip::udp::endpoint &sender) {
        onDatagram(datagram, sender);
    });
    round();
}

units::WallTime UsageMeter::now() const
{
    return wallClock_.at(timers_.now());
}

void UsageMeter::onRequestStarted(const units::WorkspaceName &workspace)
{
    if (!workspace.isEmpty())
        ledger_.increment(settings_.windows.windowAt(now()), workspace);
}

void UsageMeter::round()
{
    const duties::WindowNumber oldest
        = settings_.windows.windowAt(now() - settings_.windows.dueWithin);
    ledger_.eraseBefore(duties::WindowNumber(oldest.value() - 1));
    sendCounts();
    timers_.after(duties::UsagePublisher::interval(hosts_().size()), [this] { round(); });
}

void UsageMeter::sendCounts()
{
    const std::vector<std::string> collectors = duties::usageCollectors(hosts_());
    for (const duties::UsageUpdate &update :
         publisher_.nextUpdates(collectors, ledger_, timers_.now()))
        send(update.collector, update.entries);
}

void UsageMeter::send(const std::string &ip, const std::vector<duties::UsageEntry> &entries)
{
    for (std::size_t begin = 0; begin < entries.size(); begin += MaxEntries) {
        const std::size_t end = std::min(begin + MaxEntries, entries.size());
        // All counts are sent again later, in case a datagram is lost.
        socket_.send(ip, encode(ledger_.sourceId(), entries.data() + begin, entries.data() + end));
    }
}

void UsageMeter::onDatagram(std::string_view datagram, const asio::ip::udp::endpoint &sender)
{
    const auto fault = internal::readFault([&] {
        internal::PackedMessage message(datagram);
        const auto root = message.root<schema::UsageNews>();
        const std::string reporter = root.getReporter();
        for (const auto window : root.getWindows()) {
            for (const auto count : window.getCounts())
                ledger_.merge(reporter,
                              {duties::WindowNumber(window.getNumber()),
                               units::WorkspaceName(count.getWorkspace()), count.getTotal()});
        }
    });
    if (fault)
        observability::log(observability::LogLevel::Warning, "usage-news-unreadable",
                           {{"from", sender.address().to_string()}, {"reason", *fault}});
}

} // namespace monsoongrade::gateway
