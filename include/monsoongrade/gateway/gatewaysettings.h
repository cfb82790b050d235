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

// Settings of one gateway process. docs/REFERENCE.md describes each key.
struct GatewaySettings
{
    units::HostName host;
    std::string ip;
    units::FailureDomain failureDomain;
    // IP:PORT that this process listens on.
    std::string callersAddress;
    std::string readinessAddress;
    std::string directoryAddress;
    std::uint16_t metricsPort = 0; // 0 serves no metrics
    std::uint16_t gossipPort = 0;
    std::uint16_t placementPort = 0;
    std::uint16_t relayPort = 0;
    std::vector<std::string> seeds; // IP:PORT of hosts that may run; only the IP counts
    std::string storeAddress;
    double cpuShare = 1; // of processor cores that the process may use
    std::int64_t memoryMegabytes = 256;
    std::int64_t maxDescriptors = 1024;
    // A revoked key stops working within this time, also on a host that is cut off; 0: no bound.
    units::Duration revocationBound = std::chrono::seconds(5);
    // From the stop signal until the platform kills the process.
    units::Duration stopWithin = std::chrono::seconds(8);
    routing::RetryLimit retryLimit;
    std::string logLevel = "info";
    // IP:PORT of the platform's calls that one host at a time makes for all; empty: there are none.
    std::string dutiesAddress;
    std::uint16_t countsPort = 0; // where hosts tell each other what they count
    // How long a host holds the duties' lease after a renewal, and leaves it to others after a
    // loss.
    units::Duration leaseDuration = std::chrono::seconds(3);
    units::Duration usageWindow{};
    units::Duration usageDueWithin = std::chrono::seconds(10); // after the end of a window

    bool reportsUsage() const
    {
        return !dutiesAddress.empty() && usageWindow > units::Duration::zero();
    }
};

// Reads the YAML settings; every mistake is noted with file, line and key.
GatewaySettings parseGatewaySettings(const configuration::SourceFile &file,
                                     configuration::Problems &problems);

} // namespace monsoongrade::gateway

#endif // MONSOONGRADE_GATEWAY_GATEWAYSETTINGS_H
