#include <monsoongrade/gateway/gateway.h>

#include <gateway/internal/milliseconds.h>

#include <monsoongrade/gateway/connectionshares.h>
#include <monsoongrade/gateway/directory.h>
#include <monsoongrade/gateway/exchange.h>
#include <monsoongrade/httpio/socketoptions.h>
#include <monsoongrade/routing/placinghosts.h>

#include <algorithm>
#include <iterator>
#include <stdexcept>

namespace monsoongrade::gateway {

namespace {

// Subtracted from the revocation bound. The configuration can be 1 s less current than recorded,
// because a watch may stay silent that long while the store drops its history, and a request needs
// some time from its check to the endpoint.
constexpr auto LeaseMargin = std::chrono::milliseconds(1300);
// While a host can read the store, its configuration is confirmed every 1 to 1.6 s.
constexpr auto MaxListAge = std::chrono::milliseconds(2500);
// Request bodies may use one part in this many of the host's memory, and responses another one.
// With some 20 MB of base usage and the socket buffers, that stays far below the limit.
constexpr std::int64_t BodyMemoryDivisor = 4;

std::size_t maxBodyBytes(const GatewaySettings &settings)
{
    return std::size_t(settings.memoryMegabytes / BodyMemoryDivisor) * 1024 * 1024;
}

asio::ip::tcp::endpoint addressOf(const std::string &text, const char *what)
{
    const auto address = httpio::parseAddress(text);
    if (!address)
        throw std::runtime_error(std::string(what) + " is not IP:PORT: \"" + text + "\"");
    return *address;
}

std::vector<std::string> seedIpsOf(const GatewaySettings &settings)
{
    std::vector<std::string> ips;
    ips.reserve(settings.seeds.size());
    for (const std::string &seed : settings.seeds)
        ips.push_back(seed.substr(0, seed.find(':')));
    return ips;
}

PeerGossip::Settings gossipSettings(const GatewaySettings &settings)
{
    PeerGossip::Settings result;
    result.ownIp = settings.ip;
    result.ownFailureDomain = settings.failureDomain;
    result.ownMillicores = int(settings.cpuShare * 1000);
    result.port = settings.gossipPort;
    result.seedIps = seedIpsOf(settings);
    return result;
}

} // namespace

Gateway::Gateway(asio::io_context &io, httpio::Timers &timers, const GatewaySettings &settings,
                 const HeaderCodec &headerCodec, PageHandlers pages)
    : io_(io)
    , timers_(timers)
    , settings_(settings)
    , pages_(std::move(pages))
    , state_(io, timers, headerCodec,
             routing::FreshnessLease(settings.revocationBound, LeaseMargin),
             {settings.ip, settings.placementPort, settings.hasFairShares},
             {settings.ip, settings.streamVersionsPort}, maxBodyBytes(settings))
    , gossip_(io, timers, gossipSettings(settings), state_.crashes, state_.announcements)
{
    state_.ownDomain = settings.failureDomain;
    state_.forwardingPort = settings.forwardingPort;
    state_.retryLimit = settings.retryLimit;
    state_.callerLimits.maxBufferedBytes = maxBodyBytes(settings);
    const ConnectionShares shares = divideDescriptors(settings.maxDescriptors);
    state_.callerLimits.maxConnections = shares.callers;
    state_.callerLimits.maxRefusedConnections = shares.refusedCallers;
    forwardedLimits_.maxBufferedBytes = state_.callerLimits.maxBufferedBytes;
    forwardedLimits_.maxConnections = shares.otherHosts;
    // A host that can't connect tries another one, but would take a refusal for a broken response.
    forwardedLimits_.maxRefusedConnections = 0;
    directoryLimits_.maxConnections = shares.directory;
    pageLimits_.maxConnections = shares.page;
    if (settings.reportsUsage()) {
        state_.usage = std::make_unique<UsageMeter>(
            io, timers,
            UsageMeter::Settings{
                settings.ip, settings.countsPort, {settings.usageWindow, settings.usageDueWithin}},
            state_.wallTime, [this] { return hosts(); });
    }
    sampleOwnWallTime();
    gossip_.onWallTime([this](const std::string &host, units::Duration sinceEpoch) {
        state_.wallTime.onSample(host, units::WallTime(sinceEpoch), timers_.now());
    });
}

void Gateway::start()
{
    callers_ = std::make_unique<httpio::Server>(
        io_, timers_, addressOf(settings_.callersAddress, "callers-address"), state_.callerLimits,
        [this](httpio::ServerRequest request, std::shared_ptr<httpio::ResponseWriter> reply) {
            Exchange::start(state_, std::move(request), std::move(reply), RequestOrigin::Client);
        });
    if (settings_.forwardingPort != 0) {
        const asio::ip::tcp::endpoint address(asio::ip::make_address_v4(settings_.ip),
                                              settings_.forwardingPort);
        forwarded_ = std::make_unique<httpio::Server>(
            io_, timers_, address, forwardedLimits_,
            [this](httpio::ServerRequest request, std::shared_ptr<httpio::ResponseWriter> reply) {
                Exchange::start(state_, std::move(request), std::move(reply),
                                RequestOrigin::OtherHost);
            });
    }
    for (httpio::Server *server : requestServers())
        server->countUnsentBytes(state_.responseBytes);
    const auto page = [this](const PageHandler &serve) {
        return [this, serve](const httpio::ServerRequest &request,
                             const std::shared_ptr<httpio::ResponseWriter> &reply) {
            serve(*this, request, *reply);
        };
    };
    readiness_ = std::make_unique<httpio::Server>(
        io_, timers_, addressOf(settings_.readinessAddress, "readiness-address"), pageLimits_,
        page(pages_.readiness));
    directory_ = std::make_unique<httpio::Server>(
        io_, timers_, addressOf(settings_.directoryAddress, "directory-address"), directoryLimits_,
        page(pages_.directory));
    if (settings_.metricsPort != 0) {
        const asio::ip::tcp::endpoint address(asio::ip::make_address_v4(settings_.ip),
                                              settings_.metricsPort);
        metrics_ = std::make_unique<httpio::Server>(
            io_, timers_, address, pageLimits_,
            [this](const httpio::ServerRequest &request,
                   const std::shared_ptr<httpio::ResponseWriter> &reply) {
                serveMetrics(request, *reply);
            });
    }
    gossip_.onRound([this] { onGossipRound(); });
    gossip_.onLimit([this](const routing::RateLimitUpdate &update) {
        if (update.limits.rejections)
            state_.crashes.onBrittle(update.endpoint, timers_.now());
        state_.placement.receiveLimits(update, "gossip");
    });
    gossip_.onLeaving([this](const routing::LeavingUpdate &update) { onLeavingUpdate(update); });
    gossip_.start();
    observability::log(observability::LogLevel::Info, "retries-withheld",
                       {{"for-ms", internal::inMilliseconds(state_.retryLimit.window)}});
    state_.placement.start();
    state_.streamVersions.start();
    if (state_.usage != nullptr)
        state_.usage->start();
}

void Gateway::applyConfiguration(routing::TrafficConfiguration configuration)
{
    if (state_.table != nullptr && configuration.revision <= state_.table->configuration().revision)
        return;
    for (httpio::ServerLimits *limits : {&state_.callerLimits, &forwardedLimits_}) {
        limits->maxHeadBytes = configuration.limits.maxHeadBytes;
        limits->maxBodyBytes = configuration.limits.maxBodyBytes;
        limits->headTimeout = configuration.limits.headTimeout;
        limits->idleTimeout = configuration.limits.idleTimeout;
    }
    state_.table = std::make_shared<const routing::RouteTable>(std::move(configuration));
    const routing::TrafficConfiguration &applied = state_.table->configuration();
    state_.placement.setPools(applied.pools);
    observability::log(observability::LogLevel::Info, "configuration-applied",
                       {{"version", applied.version},
                        {"revision", applied.revision.value()},
                        {"routes", std::uint64_t(applied.routes.size())},
                        {"workspaces", std::uint64_t(applied.workspaces.size())}});
}

void Gateway::markConfigurationCurrent(units::TimePoint asOf)
{
    state_.lease.renew(asOf);
    if (state_.table != nullptr && state_.lease.isFresh(timers_.now()))
        state_.startupGate.onConfiguration();
}

void Gateway::replaceEndpoints(const std::vector<routing::DiscoveredEndpoint> &endpoints,
                               units::TimePoint keepMissingUntil)
{
    state_.registry.replaceAll(endpoints, timers_.now(), keepMissingUntil);
    for (const routing::DiscoveredEndpoint &endpoint : endpoints)
        state_.placement.applyKnownLimits(endpoint);
    recordPoolVersions(state_.registry.softwareVersions(), true);
    computeDivision();
    state_.startupGate.onEndpoints();
    observability::log(observability::LogLevel::Info, "endpoints-listed",
                       {{"listed", std::uint64_t(endpoints.size())},
                        {"known", std::uint64_t(state_.registry.size())}});
}

void Gateway::updateEndpoint(const routing::DiscoveredEndpoint &endpoint)
{
    state_.registry.update(endpoint);
    state_.placement.applyKnownLimits(endpoint);
    recordPoolVersions({{endpoint.pool, {endpoint.softwareVersion}}}, true);
    computeDivision();
    if (endpoint.draining)
        state_.log.write(observability::LogLevel::Info, "endpoint-draining",
                         {{"endpoint", endpoint.id.value()}, {"pool", endpoint.pool.value()}});
    else
        state_.log.write(observability::LogLevel::Info, "endpoint-updated",
                         {{"endpoint", endpoint.id.value()},
                          {"pool", endpoint.pool.value()},
                          {"address", endpoint.address},
                          {"incarnation", endpoint.incarnation.value()}});
}

void Gateway::removeEndpoint(const units::EndpointId &id, units::TimePoint keepMissingUntil)
{
    state_.registry.remove(id, timers_.now(), keepMissingUntil);
    computeDivision();
    state_.log.write(observability::LogLevel::Info, "endpoint-removed", {{"endpoint", id.value()}});
}

bool Gateway::isServing() const
{
    return peerState() == routing::PeerState::Serving;
}

bool Gateway::isReady() const
{
    return isServing() && !callers_->isFull();
}

routing::PeerState Gateway::peerState() const
{
    if (leaving_)
        return routing::PeerState::Leaving;
    const bool isUsable = state_.table != nullptr && state_.lease.isFresh(timers_.now());
    return isUsable ? routing::PeerState::Serving : routing::PeerState::NotReady;
}

std::vector<std::string> Gateway::callerAddresses(const units::FailureDomain &callersDomain,
                                                  std::size_t maxAddresses) const
{
    const std::string port = settings_.callersAddress.substr(settings_.callersAddress.find(':'));
    routing::PeerUpdate own = gossip_.own();
    own.state = peerState();
    std::vector<std::string> addresses
        = hostsForCallers(own, gossip_.live(), callersDomain, maxAddresses);
    for (std::string &address : addresses)
        address += port;
    return addresses;
}

void Gateway::sampleOwnWallTime()
{
    state_.wallTime.onSample(settings_.ip, std::chrono::system_clock::now(), timers_.now());
}

void Gateway::onGossipRound()
{
    gossip_.setUnreachablePools(state_.reach.lostPools());
    publishOwnState();
    sampleOwnWallTime();
    state_.registry.removeExpired(timers_.now());
    state_.registry.restoreUnannounced();
    recordPoolVersions(state_.registry.softwareVersions(), false);
    const std::vector<routing::PeerUpdate> live = hosts();
    state_.otherHosts.assign(live.begin(), std::prev(live.end())); // this host comes last
    state_.liveHosts = int(live.size());
    logHostChanges(live);
    setPositionAmong(live);
    updateCoordinatorRankings(live);
    logFullness();
}

void Gateway::setPositionAmong(const std::vector<routing::PeerUpdate> &live)
{
    const routing::FleetDivision &division = state_.registry.division();
    const std::uint32_t ownCell = division.cellOf(settings_.ip);
    PlacementService::HostPosition inFleet{0, 0};
    PlacementService::HostPosition inCell{0, 0};
    for (const routing::PeerUpdate &host : live) {
        const int before = host.ip < settings_.ip ? 1 : 0;
        ++inFleet.hosts;
        inFleet.ownIndex += before;
        if (division.cellOf(host.ip) != ownCell)
            continue;
        ++inCell.hosts;
        inCell.ownIndex += before;
    }
    state_.placement.setLiveHosts(inFleet, inCell);
}

void Gateway::updateCoordinatorRankings(const std::vector<routing::PeerUpdate> &live)
{
    const routing::FleetDivision &division = state_.registry.division();
    std::vector<std::string> ofFleet = routing::rankCoordinators(live, hostsCompared_);
    const std::uint32_t ownCell = division.cellOf(settings_.ip);
    std::vector<std::string> ofCell;
    std::copy_if(ofFleet.begin(), ofFleet.end(), std::back_inserter(ofCell),
                 [&](const std::string &ip) { return division.cellOf(ip) == ownCell; });
    state_.placement.setCoordinatorRankings(std::move(ofFleet), std::move(ofCell));
}

void Gateway::applyDivision(const routing::FleetDivision &division)
{
    if (division == state_.registry.division())
        return;
    const std::uint32_t ownCell = division.cellOf(settings_.ip);
    state_.registry.setDivision(division, ownCell);
    observability::log(observability::LogLevel::Info, "fleet-divided",
                       {{"cells", std::uint64_t(division.cells())},
                        {"own-cell", std::uint64_t(ownCell)},
                        {"divided-pools", std::uint64_t(division.pools().size())}});
}

void Gateway::setDivision(const std::optional<routing::FleetDivision> &received)
{
    listsAllEndpoints_ = !received;
    if (received)
        applyDivision(*received);
}

void Gateway::computeDivision()
{
    if (!listsAllEndpoints_)
        return;
    applyDivision(routing::divideFleet(state_.registry.sizes(), state_.registry.division()));
}

// A list that may lack changes does not show that no other version serves. It comes from the same
// source as the configuration, whose age is known.
void Gateway::recordPoolVersions(const routing::EndpointRegistry::SoftwareVersions &listed,
                                 bool isNews)
{
    const units::TimePoint now = timers_.now();
    const bool isCurrent = state_.lease.age(now) <= MaxListAge;
    for (const auto &[pool, versions] : listed) {
        if (isCurrent)
            state_.poolVersions.onListed(pool, versions, now);
        else if (isNews)
            state_.poolVersions.onSeen(pool, versions, now);
    }
}

void Gateway::onLeavingUpdate(const routing::LeavingUpdate &update)
{
    if (!state_.setLeaving(update.endpoint, timers_.now() - update.age))
        return;
    state_.log.write(observability::LogLevel::Info, "endpoint-leaving-learned",
                     {{"endpoint", update.endpoint.id.value()},
                      {"incarnation", update.endpoint.incarnation.value()}});
}

std::vector<routing::PeerUpdate> Gateway::hosts() const
{
    std::vector<routing::PeerUpdate> hosts = gossip_.live();
    hosts.push_back(gossip_.own());
    return hosts;
}

std::vector<std::string> Gateway::seedIps() const
{
    return seedIpsOf(settings_);
}

// Publishes this host's state, and logs each change with the configuration that it depends on.
void Gateway::publishOwnState()
{
    const routing::PeerState state = peerState();
    gossip_.setState(state);
    if (state == lastState_)
        return;
    lastState_ = state;
    const units::Duration age = state_.lease.age(timers_.now());
    observability::log(
        observability::LogLevel::Info,
        state == routing::PeerState::Serving ? "serving-began" : "serving-ended",
        {{"leaving", leaving_ ? "yes" : "no"},
         {"configuration",
          state_.table == nullptr ? std::int64_t(0) : state_.table->configuration().version},
         {"configuration-age-ms",
          age == units::Duration::max() ? std::int64_t(-1) : internal::inMilliseconds(age)}});
}

void Gateway::reload(const GatewaySettings &settings)
{
    state_.retryLimit = settings.retryLimit;
    settings_.stopWithin = settings.stopWithin;
    observability::log(observability::LogLevel::Info, "settings-reloaded", {});
}

} // namespace monsoongrade::gateway
