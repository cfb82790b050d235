#ifndef MONSOONGRADE_GATEWAY_GATEWAYSETTINGS_H
#define MONSOONGRADE_GATEWAY_GATEWAYSETTINGS_H

#include <monsoongrade/configuration/problem.h>
#include <monsoongrade/configuration/sourcefile.h>
#include <monsoongrade/routing/retryallowance.h>
#include <monsoongrade/units/clock.h>
#include <monsoongrade/units/ids.h>

#include <cstdint>
#include <string>
#include <vector>

namespace monsoongrade::gateway {

// Settings of a gateway process. docs/REFERENCE.md describes each key.
struct GatewaySettings
{
    units::HostName host;
    std::string ip;
    units::FailureDomain failureDomain;
    // Listening addresses, as IP:PORT.
    std::string callersAddress;
    std::string readinessAddress;
    std::string directoryAddress;
    std::uint16_t metricsPort = 0; // 0 serves no metrics
    std::uint16_t gossipPort = 0;
    std::uint16_t placementPort = 0;
    bool hasFairShares = false; // for workspaces, while model requests are queued
    std::uint16_t relayPort = 0;
    // On which hosts tell each other at which software version streams began; 0: they don't.
    std::uint16_t streamVersionsPort = 0;
    std::uint16_t forwardingPort = 0; // 0: hosts pass no requests to each other
    std::vector<std::string> seeds; // IP:PORT of hosts that may be running; the port is ignored
    std::string storeAddress;
    double cpuShare = 1; // number of processor cores that the process may use
    std::int64_t memoryMegabytes = 256;
    std::int64_t maxDescriptors = 1024;
    // A revoked key is rejected after at most this time, also by a partitioned host; 0: no bound.
    units::Duration revocationBound = std::chrono::seconds(5);
    // Time from the stop signal until the platform kills the process.
    units::Duration stopWithin = std::chrono::seconds(8);
    routing::RetryLimit retryLimit;
    std::string logLevel = "info";
    // IP:PORT of the platform API that the duty lease's holder calls; empty disables the duties.
    std::string dutiesAddress;
    std::uint16_t countsPort = 0; // on which hosts exchange usage counts
    // How long the duty lease is valid after a renewal, and how long a host that lost the lease
    // does not try to acquire it.
    units::Duration leaseDuration = std::chrono::seconds(3);
    units::Duration usageWindow{};
    units::Duration usageDueWithin = std::chrono::seconds(10); // after the end of a window

    bool reportsUsage() const
    {
        return !dutiesAddress.empty() && usageWindow > units::Duration::zero();
    }
};

// Parses the YAML settings and adds every error, with file, line and key, to problems.
GatewaySettings parseGatewaySettings(const configuration::SourceFile &file,
                                     configuration::Problems &problems);

} // namespace monsoongrade::gateway

#endif // MONSOONGRADE_GATEWAY_GATEWAYSETTINGS_H
