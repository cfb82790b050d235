#ifndef MONSOONGRADE_CONFIGURATION_CONFIGURATION_H
#define MONSOONGRADE_CONFIGURATION_CONFIGURATION_H

#include <monsoongrade/configuration/keyindex.h>
#include <monsoongrade/scheduling/cellpolicy.h>
#include <monsoongrade/units/ids.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace monsoongrade::configuration {

// Whether a request may be run more than once.
enum class RunRule { Idempotent, AtMostOnce };

// A model engine understands the completions protocol; a plain service is passed any path.
enum class PoolKind { Engine, Service };

struct ClassConfig
{
    scheduling::ClassPolicy policy;
    // What happens to the endpoint's work when the caller leaves before the answer's end.
    bool cancelOnDisconnect = true;
};

struct WorkspaceConfig
{
    units::WorkspaceName name;
    double weight = 1.0;
    std::vector<std::string> keys;
    units::ClassName defaultClass;
    // Requests of this workspace open at one router at a time; 0 is no limit.
    std::size_t openLimit = 0;
};

struct EndpointConfig
{
    units::EndpointId id;
    units::HostName host;
    std::string address;
    std::uint16_t port = 0;
    int slots = 1;
};

struct PoolConfig
{
    units::PoolName name;
    PoolKind kind = PoolKind::Engine;
    std::vector<units::ModelName> models;
    bool honoursPriority = false;
    bool canResume = false;
    bool checksFencing = false;
    units::Duration silenceTimeout = std::chrono::seconds(30);
    std::vector<EndpointConfig> endpoints;
};

// The first rule whose every given condition holds decides the class, pool and run rule.
struct RuleConfig
{
    std::string pathPrefix;
    std::string method;
    units::ModelName model;
    units::WorkspaceName workspace;
    std::string headerName;
    std::string headerValue;
    units::ClassName className;
    units::PoolName pool;
    // Without it, engines may repeat a request and plain services may not.
    std::optional<RunRule> run;
};

// The merged whole of all files, checked.
struct Configuration
{
    units::Generation generation;
    std::map<units::ClassName, ClassConfig> classes;
    std::map<units::WorkspaceName, WorkspaceConfig> workspaces;
    KeyIndex keys;
    std::map<units::PoolName, PoolConfig> pools;
    std::vector<RuleConfig> rules;
    std::size_t queueLimit = 10000;
    double guaranteedShare = 0.05;
    // Hosts and endpoints that operators have taken out of service.
    std::set<std::string> drained;

    // True where the endpoint or its host is drained.
    bool isDrained(const EndpointConfig &endpoint) const;
    // Null where the pool or the endpoint is unknown.
    const EndpointConfig *findEndpoint(const units::PoolName &pool,
                                       const units::EndpointId &id) const;
    // The policy of the one cell that holds the whole pool.
    scheduling::CellPolicy cellPolicy(const units::PoolName &pool) const;
};

} // namespace monsoongrade::configuration

#endif // MONSOONGRADE_CONFIGURATION_CONFIGURATION_H
