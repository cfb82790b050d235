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
constexpr auto SaveInterval = std::chrono::milliseconds(50);
constexpr int MaxSavedPerInterval = 50;
// An entry takes about 200 bytes. In a pool of one version they wait for a second one.
constexpr std::size_t MaxUnsaved = 2000;

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
    : ownIp_(settings.ownIp)
    , timers_(timers)
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
    saveStreams();
    if (!socket_)
        return;
    socket_->receive([this](std::string_view datagram, const asio::ip::udp::endpoint &sender) {
        onDatagram(datagram, sender);
    });
}

void StreamVersionService::onBegan(const routing::StreamIdentity &stream,
                                   const units::PoolName &pool,
                                   const units::SoftwareVersion &version)
{
    if (!routing::StreamVersions::isRecordable(stream))
        return;
    versions_.add(stream, version, timers_.now());
    if (stored_ != nullptr) {
        unsaved_.push_back({stream, pool, version, timers_.now()});
        if (unsaved_.size() > MaxUnsaved)
            unsaved_.pop_front();
    }
    if (!socket_)
        return;
    const std::string datagram = encode(StreamBegunMessage{stream, version});
    for (const std::string &host : routing::streamHomes(stream, otherHosts_, routing::StreamHomes))
        socket_->send(host, datagram);
}

void StreamVersionService::saveStreams()
{
    timers_.after(SaveInterval, [this] { saveStreams(); });
    const units::TimePoint now = timers_.now();
    while (!unsaved_.empty() && now - unsaved_.front().at > poolVersions_.streamAge())
        unsaved_.pop_front();
    if (unsaved_.empty() || !poolVersions_.hasSeveralVersions(now))
        return;
    int saved = 0;
    const auto isSaved = [&](const Begun &begun) {
        const bool isDue = saved < MaxSavedPerInterval
            && poolVersions_.recent(begun.pool, now).appearedAt.size() > 1;
        if (!isDue)
            return false;
        const std::string host = stored_->savingHost(begun.stream);
        if (host.empty())
            return false; // none is known yet
        ++saved;
        if (host == ownIp_)
            stored_->save(begun.stream, begun.version);
        else if (socket_)
            socket_->send(host, encode(StreamBegunMessage{begun.stream, begun.version}));
        return true;
    };
    unsaved_.erase(std::remove_if(unsaved_.begin(), unsaved_.end(), isSaved), unsaved_.end());
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
    if (routing::isKnown(query.reports) || stored_ == nullptr)
        report(query.found, routing::versionToResumeAt(query.reports));
    else
        findInStore(std::move(query));
}

void StreamVersionService::findInStore(PendingQuery query)
{
    metrics_.add("monsoongrade_gateway_stream_versions_read_total");
    stored_->find(query.stream, query.pool,
                  [this, query](const routing::StoredStreamVersion &stored) mutable {
                      // This host may have seen another version since.
                      query.reports.push_back(ownReport(query.stream, query.pool));
                      report(query.found, routing::versionToResumeAt(query.reports, stored));
                  });
}

void StreamVersionService::report(const FoundHandler &found,
                                  std::optional<units::SoftwareVersion> version)
{
    if (!version)
        metrics_.add("monsoongrade_gateway_stream_versions_unknown_total");
    found(std::move(version));
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
    // The message does not tell the pool, so streams of other pools are saved meanwhile too.
    if (stored_ != nullptr && poolVersions_.hasSeveralVersions(timers_.now()))
        stored_->save(message.stream, message.version);
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
