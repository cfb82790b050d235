#include <monsoongrade/configuration/daemonsettings.h>

#include <monsoongrade/configuration/mappingreader.h>

#include <arpa/inet.h>

namespace monsoongrade::configuration {

namespace {

constexpr auto MinKeepClaims = std::chrono::hours(1);

std::uint16_t port(MappingReader &reader, const std::string &key, std::uint16_t fallback)
{
    return static_cast<std::uint16_t>(reader.integer(key, fallback, 1, 65535));
}

// What the daemon listens on; a name could mean several.
std::string ipNumber(MappingReader &reader)
{
    std::string value = reader.requiredText("address");
    in_addr number{};
    if (!value.empty() && inet_pton(AF_INET, value.c_str(), &number) != 1)
        reader.problem(units::ResultCode::OutOfRange, "address", "expected an IP number");
    return value;
}

std::string platformUrl(MappingReader &reader)
{
    std::string value = reader.requiredText("platform");
    const std::string scheme = "http://";
    if (!value.empty() && (value.compare(0, scheme.size(), scheme) != 0 || value == scheme))
        reader.problem(units::ResultCode::OutOfRange, "platform", "expected http://address:port");
    return value;
}

std::size_t count(MappingReader &reader, const std::string &key, std::size_t fallback,
                  std::int64_t least, std::int64_t most)
{
    return static_cast<std::size_t>(
        reader.integer(key, static_cast<std::int64_t>(fallback), least, most));
}

void readListenerLimits(MappingReader &reader, DaemonSettings &settings)
{
    settings.headerLimit = count(reader, "header-limit", settings.headerLimit, 1024, 1 << 20);
    settings.headerCountLimit
        = count(reader, "header-count-limit", settings.headerCountLimit, 8, 10000);
    settings.connectionLimit
        = count(reader, "connection-limit", settings.connectionLimit, 1, 1000000);
    settings.readTimeout = reader.positiveDuration("read-timeout", settings.readTimeout);
    settings.writeTimeout = reader.positiveDuration("write-timeout", settings.writeTimeout);
}

} // namespace

DaemonSettings parseDaemonSettings(const SourceFile &file, Problems &problems)
{
    DaemonSettings settings;
    auto top = MappingReader::ofFile(file, problems);
    if (!top)
        return settings;
    MappingReader &reader = *top;
    settings.cluster = units::ClusterName(reader.requiredText("cluster"));
    settings.host = units::HostName(reader.requiredText("host"));
    settings.address = ipNumber(reader);
    settings.failureDomain = units::FailureDomain(reader.requiredText("failure-domain"));
    settings.platform = platformUrl(reader);
    settings.httpPort = port(reader, "http-port", settings.httpPort);
    settings.operatorPort = port(reader, "operator-port", settings.operatorPort);
    settings.schedulerOperatorPort
        = port(reader, "scheduler-operator-port", settings.schedulerOperatorPort);
    settings.routerRpcPort = port(reader, "router-rpc-port", settings.routerRpcPort);
    settings.schedulerRpcPort = port(reader, "scheduler-rpc-port", settings.schedulerRpcPort);
    settings.threads = static_cast<std::size_t>(reader.integer("threads", 2, 1, 64));
    const std::vector<std::string> levels{"debug", "info", "warning", "error"};
    settings.logLevel = levels[reader.choice("log-level", levels, 1)];
    settings.slots = static_cast<SlotPolicy>(
        reader.choice("slots", {"scheduler", "fixed-share", "two-choices"}, 0));
    settings.operatorToken = reader.text("operator-token");
    settings.bodyLimit
        = static_cast<std::size_t>(reader.integer("body-limit", 8 << 20, 1024, 256 << 20));
    settings.openLimit = static_cast<std::size_t>(reader.integer("open-limit", 5000, 1, 1000000));
    readListenerLimits(reader, settings);
    settings.keepAddress = reader.duration("keep-address", settings.keepAddress);
    settings.keepClaims = reader.duration("keep-claims", settings.keepClaims);
    // Below this an epoch would be shorter than some requests wait for a slot.
    if (settings.keepClaims < MinKeepClaims)
        reader.problem(units::ResultCode::OutOfRange, "keep-claims", "must be at least 1h");
    reader.finish();
    return settings;
}

} // namespace monsoongrade::configuration
