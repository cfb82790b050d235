#ifndef MONSOONGRADE_GATEWAY_STREAMVERSIONSERVICE_H
#define MONSOONGRADE_GATEWAY_STREAMVERSIONSERVICE_H

#include <monsoongrade/gateway/datagramsocket.h>
#include <monsoongrade/gateway/storedstreamversions.h>
#include <monsoongrade/httpio/timers.h>
#include <monsoongrade/observability/metrics.h>
#include <monsoongrade/routing/peertable.h>
#include <monsoongrade/routing/poolversions.h>
#include <monsoongrade/routing/streamidentity.h>
#include <monsoongrade/routing/streamversionreport.h>
#include <monsoongrade/routing/streamversions.h>

#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace monsoongrade::gateway {

namespace internal {
struct StreamBegunMessage;
struct StreamVersionQueryMessage;
struct StreamVersionResponseMessage;
} // namespace internal

// Knows at which software version a stream began, also if it began at another host: each host tells
// a few others, selected by the stream's identity, of the streams that begin at it, and asks them
// when a client resumes a stream. The first event of a stream does not wait for them.
class StreamVersionService
{
public:
    // Empty if no host knows the version, and the pool may have had several.
    using FoundHandler = std::function<void(std::optional<units::SoftwareVersion>)>;

    struct Settings
    {
        std::string ownIp;
        std::uint16_t port = 0; // the same on all hosts; 0: this host tells and asks nobody
    };

    // otherHosts: the live ones, which change while the service runs.
    StreamVersionService(asio::io_context &io, httpio::Timers &timers, const Settings &settings,
                         const std::vector<routing::PeerUpdate> &otherHosts,
                         const routing::PoolVersions &poolVersions,
                         observability::Metrics &metrics);

    void start();
    // What the store holds, for streams that no host knows; without it, they are refused.
    void setStored(StoredStreamVersions &stored) { stored_ = &stored; }
    // The stream's first event, from an endpoint of this pool and version, is about to be sent to
    // its client.
    void onBegan(const routing::StreamIdentity &stream, const units::PoolName &pool,
                 const units::SoftwareVersion &version);
    // Finds the version at which the stream may go on in the pool. Calls found once, possibly
    // before this function returns, at the latest when the hosts that are asked have had time for
    // two queries, and the store for a read.
    void find(const routing::StreamIdentity &stream, const units::PoolName &pool,
              FoundHandler found);

private:
    struct PendingQuery
    {
        routing::StreamIdentity stream;
        units::PoolName pool;
        FoundHandler found;
        std::vector<std::string> unanswered; // hosts
        std::vector<routing::StreamVersionReport> reports;
        bool wasRepeated = false;
        httpio::Timers::Handle timeout;
    };

    struct Begun
    {
        routing::StreamIdentity stream;
        units::PoolName pool;
        units::SoftwareVersion version;
        units::TimePoint at;
    };

    // Has the streams saved that began in pools of several versions.
    void saveStreams();
    routing::StreamVersionReport ownReport(const routing::StreamIdentity &stream,
                                           const units::PoolName &pool) const;
    void ask(std::uint64_t number);
    void onTimeout(std::uint64_t number);
    void conclude(std::uint64_t number);
    void findInStore(PendingQuery query);
    void report(const FoundHandler &found, std::optional<units::SoftwareVersion> version);
    void onDatagram(std::string_view datagram, const asio::ip::udp::endpoint &sender);
    void onMessage(const std::string &host, const internal::StreamBegunMessage &message);
    void onMessage(const std::string &host, const internal::StreamVersionQueryMessage &message);
    void onMessage(const std::string &host, const internal::StreamVersionResponseMessage &message);

    std::string ownIp_;
    std::optional<DatagramSocket> socket_; // empty: this host tells and asks nobody
    httpio::Timers &timers_;
    const std::vector<routing::PeerUpdate> &otherHosts_;
    const routing::PoolVersions &poolVersions_;
    observability::Metrics &metrics_;
    StoredStreamVersions *stored_ = nullptr;
    std::deque<Begun> unsaved_; // began here lately, the oldest first
    routing::StreamVersions versions_;
    std::unordered_map<std::uint64_t, PendingQuery> pending_;
    std::uint64_t lastNumber_;
};

} // namespace monsoongrade::gateway

#endif // MONSOONGRADE_GATEWAY_STREAMVERSIONSERVICE_H
