#include <monsoongrade/gateway/gatewaysettings.h>

#include <monsoongrade/configuration/mappingreader.h>

namespace monsoongrade::gateway {

namespace {

constexpr std::int64_t MaxPort = 65535;
constexpr std::int64_t MaxMegabytes = 1024 * 1024;
constexpr std::int64_t MaxDescriptorsAllowed = 1024 * 1024;
constexpr double DayInMilliseconds = 24 * 3600 * 1000.0;
constexpr double DayInSeconds = 24 * 3600.0;

units::Duration fromMilliseconds(double value)
{
    return std::chrono::duration_cast<units::Duration>(
        std::chrono::duration<double, std::milli>(value));
}

units::Duration fromSeconds(double value)
{
    return std::chrono::duration_cast<units::Duration>(std::chrono::duration<double>(value));
}

} // namespace

GatewaySettings parseGatewaySettings(const configuration::SourceFile &file,
                                     configuration::Problems &problems)
{
    GatewaySettings settings;
    auto whole = configuration::MappingReader::ofFile(file, problems);
    if (!whole)
        return settings;
    configuration::MappingReader &reader = *whole;
    settings.host = units::HostName(reader.requiredText("host"));
    settings.ip = reader.requiredText("ip");
    settings.failureDomain = units::FailureDomain(reader.requiredText("failure-domain"));
    settings.callersAddress = reader.requiredText("callers-address");
    settings.readinessAddress = reader.requiredText("readiness-address");
    settings.directoryAddress = reader.requiredText("directory-address");
    settings.metricsPort = std::uint16_t(reader.integer("metrics-port", 0, 0, MaxPort));
    settings.gossipPort = std::uint16_t(reader.integer("gossip-port", 0, 1, MaxPort));
    settings.placementPort = std::uint16_t(reader.integer("placement-port", 0, 1, MaxPort));
    settings.hasFairShares = reader.flag("workspace-shares", false);
    settings.relayPort = std::uint16_t(reader.integer("relay-port", 0, 1, MaxPort));
    settings.forwardingPort
        = std::uint16_t(reader.integer("forwarding-port", settings.placementPort, 0, MaxPort));
    settings.seeds = reader.texts("seeds");
    settings.storeAddress = reader.requiredText("store-address");
    settings.cpuShare = reader.number("cpu-share", 1, 0.001, 1024);
    settings.memoryMegabytes = reader.integer("memory-mb", 256, 16, MaxMegabytes);
    settings.maxDescriptors = reader.integer("max-descriptors", 1024, 64, MaxDescriptorsAllowed);
    settings.revocationBound
        = fromMilliseconds(reader.number("revocation-bound-ms", 5000, 0, DayInMilliseconds));
    settings.stopWithin = fromSeconds(reader.number("stop-within-s", 8, 0.5, DayInSeconds));
    settings.retryLimit.share = reader.number("retry-share", 0.2, 0, 100);
    settings.retryLimit.fixed = reader.number("retry-fixed", 50, 0, 1e6);
    settings.retryLimit.window
        = fromSeconds(reader.number("retry-window-s", 10, 0.1, DayInSeconds));
    settings.dutiesAddress = reader.text("duties-address", "");
    // Defaults to the port after the gossip port.
    settings.countsPort = std::uint16_t(
        reader.integer("counts-port", std::int64_t(settings.gossipPort) + 1, 1, MaxPort));
    constexpr std::int64_t PortsAfterGossip = 2; // the next one is for usage counts
    settings.streamVersionsPort = std::uint16_t(reader.integer(
        "stream-versions-port", std::int64_t(settings.gossipPort) + PortsAfterGossip, 0, MaxPort));
    settings.leaseDuration
        = fromMilliseconds(reader.number("duty-lease-ms", 3000, 100, DayInMilliseconds));
    settings.usageWindow = fromSeconds(reader.number("usage-window-s", 0, 0, DayInSeconds));
    settings.usageDueWithin = fromSeconds(reader.number("usage-due-s", 10, 0, DayInSeconds));
    settings.logLevel = reader.text("log-level", "info");
    reader.finish();
    return settings;
}

} // namespace monsoongrade::gateway
