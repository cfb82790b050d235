#ifndef MONSOONGRADE_CONFIGURATION_DAEMONSETTINGS_H
#define MONSOONGRADE_CONFIGURATION_DAEMONSETTINGS_H

#include <monsoongrade/configuration/problem.h>
#include <monsoongrade/configuration/sourcefile.h>
#include <monsoongrade/units/clock.h>
#include <monsoongrade/units/ids.h>

#include <cstdint>
#include <string>

namespace monsoongrade::configuration {

enum class SlotPolicy { Scheduler, FixedShare, TwoChoices };

// What one daemon is told at its start, from a YAML file. What all share is configuration.
struct DaemonSettings
{
    units::ClusterName cluster;
    units::HostName host;
    std::string address = "127.0.0.1";
    units::FailureDomain failureDomain;
    // "http://address:port" of the platform's API.
    std::string platform;
    std::uint16_t httpPort = 8080;
    std::uint16_t operatorPort = 8081;
    std::uint16_t schedulerOperatorPort = 8082;
    std::uint16_t routerRpcPort = 7001;
    std::uint16_t schedulerRpcPort = 7002;
    std::size_t threads = 2;
    std::string logLevel = "info";
    SlotPolicy slots = SlotPolicy::Scheduler;
    // Operator calls must carry this as a bearer token; empty turns operator calls off.
    std::string operatorToken;
    std::size_t bodyLimit = 8 * 1024 * 1024;
    std::size_t openLimit = 5000;
    // Bytes of a request's target and headers together, and how many headers.
    std::size_t headerLimit = 32 * 1024;
    std::size_t headerCountLimit = 100;
    // Callers connected at once; further ones wait until one leaves.
    std::size_t connectionLimit = 10000;
    // Longest time for a request to come in, and for one piece of an answer to be taken.
    units::Duration readTimeout = std::chrono::seconds(60);
    units::Duration writeTimeout = std::chrono::seconds(60);
    // How long callers may keep an address; a planned stop serves for at least this long.
    units::Duration keepAddress = std::chrono::seconds(5);
    // Two runs of one idempotency key begin at least so long apart; the same on all routers.
    units::Duration keepClaims = std::chrono::hours(24);
};

// Reads the settings of a router or scheduler. The settings count only where no problem is
// added.
DaemonSettings parseDaemonSettings(const SourceFile &file, Problems &problems);

} // namespace monsoongrade::configuration

#endif // MONSOONGRADE_CONFIGURATION_DAEMONSETTINGS_H
