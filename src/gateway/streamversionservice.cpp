#include <monsoongrade/gateway/streamversionservice.h>

#include <gateway/internal/packedmessage.h>
#include <gateway/internal/streamversionmessages.h>

#include <monsoongrade/observability/log.h>
#include <monsoongrade/routing/streamhomes.h>

#include <algorithm>
#include <random>

namespace monsoongrade::gateway {

namespace {

using namespace internal;

// A response takes a round trip of 2 to 3 ms. A resumed stream has waited for at least as long
// already, so a lost datagram may cost it a little more.
constexpr auto ResponseTimeout = std::chrono::milliseconds(25);
constexpr std::size_t MaxDatagramBytes = 2048;

// A restarted host must not take responses to queries of its last run for its own.
std::uint64_t firstNumber()
{
    std::random_device random;
    return (std::uint64_t(random()) << 32) | random();
}

} // namespace

StreamVersionService::StreamVersionService(asio::io_context &io, httpio::Timers &timers,
                                           const Settings &settings,
                                           const std::vector<routing::PeerUpdate> &otherHosts,
                                           const routing::PoolVersions &poolVersions,
                                           observability::Metrics &metrics)
    : timers_(timers)
    , otherHosts_(otherHosts)
    , poolVersions_(poolVersions)
    , metrics_(metrics)
    , lastNumber_(firstNumber())
{
    if (settings.port != 0)
        socket_.emplace(io, settings.ownIp, settings.port, MaxDatagramBytes,
                        DatagramSocket::AddressReuse::Forbidden);
}

void StreamVersionService::start()
{
    if (!socket_)
        return;
    socket_->receive([this](std::string_view datagram, const asio::ip::udp::endpoint &sender) {
        onDatagram(datagram, sender);
    });
}

void StreamVersionService::onBegan(const routing::StreamIdentity &stream,
                                   const units::SoftwareVersion &version)
{
    if (!routing::StreamVersions::isRecordable(stream))
        return;
    versions_.add(stream, version, timers_.now());
    if (!socket_)
        return;
    const std::string datagram = encode(StreamBegunMessage{stream, version});
    for (const std::string &host : routing::streamHomes(stream, otherHosts_, routing::StreamHomes))
        socket_->send(host, datagram);
}

void StreamVersionService::find(const routing::StreamIdentity &stream, const units::PoolName &pool,
                                FoundHandler found)
{
    metrics_.add("monsoongrade_gateway_streams_resumed_total");
    const routing::StreamVersionReport own = ownReport(stream, pool);
    const bool isTooLong = stream.request.value().size() > routing::StreamVersions::MaxIdLength;
    std::vector<std::string> hosts;
    if (socket_ && !own.version && !isTooLong)
        hosts = routing::streamHomes(stream, otherHosts_, routing::AskedStreamHomes);
    const std::uint64_t number = ++lastNumber_;
    pending_[number] = {stream, pool, std::move(found), std::move(hosts), {own}, false, {}};
    if (pending_[number].unanswered.empty())
        conclude(number);
    else
        ask(number);
}

void StreamVersionService::ask(std::uint64_t number)
{
    PendingQuery &query = pending_.at(number);
    const std::string datagram
        = encode(StreamVersionQueryMessage{number, query.stream, query.pool});
    for (const std::string &host : query.unanswered)
        socket_->send(host, datagram);
    query.timeout = timers_.after(ResponseTimeout, [this, number] { onTimeout(number); });
}

void StreamVersionService::onTimeout(std::uint64_t number)
{
    const auto found = pending_.find(number);
    if (found == pending_.end())
        return;
    if (found->second.wasRepeated) {
        conclude(number);
        return;
    }
    found->second.wasRepeated = true;
    ask(number);
}

void StreamVersionService::conclude(std::uint64_t number)
{
    const auto entry = pending_.find(number);
    PendingQuery query = std::move(entry->second);
    pending_.erase(entry);
    timers_.cancel(query.timeout);
    const auto version = routing::versionToResumeAt(query.reports);
    if (!version)
        metrics_.add("monsoongrade_gateway_stream_versions_unknown_total");
    query.found(version);
}

routing::StreamVersionReport StreamVersionService::ownReport(const routing::StreamIdentity &stream,
                                                             const units::PoolName &pool) const
{
    const units::TimePoint now = timers_.now();
    return {versions_.find(stream, now), poolVersions_.history(pool, now)};
}

void StreamVersionService::onDatagram(std::string_view datagram,
                                      const asio::ip::udp::endpoint &sender)
{
    const auto fault = readFault([&] {
        std::visit([&](const auto &message) { onMessage(sender.address().to_string(), message); },
                   decodeStreamVersionMessage(datagram));
    });
    if (fault)
        observability::log(observability::LogLevel::Warning, "stream-version-unreadable",
                           {{"from", sender.address().to_string()}, {"reason", *fault}});
}

void StreamVersionService::onMessage(const std::string &, const StreamBegunMessage &message)
{
    versions_.add(message.stream, message.version, timers_.now());
}

void StreamVersionService::onMessage(const std::string &host,
                                     const StreamVersionQueryMessage &message)
{
    socket_->send(host,
                  encode(StreamVersionResponseMessage{message.number,
                                                      ownReport(message.stream, message.pool)}));
}

void StreamVersionService::onMessage(const std::string &host,
                                     const StreamVersionResponseMessage &message)
{
    const auto found = pending_.find(message.number);
    if (found == pending_.end())
        return; // concluded already
    PendingQuery &query = found->second;
    const auto answered = std::find(query.unanswered.begin(), query.unanswered.end(), host);
    if (answered == query.unanswered.end())
        return; // the second response of a host
    query.unanswered.erase(answered);
    query.reports.push_back(message.report);
    if (message.report.version || query.unanswered.empty())
        conclude(message.number);
}

} // namespace monsoongrade::gateway
