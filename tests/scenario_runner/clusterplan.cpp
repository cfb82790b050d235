#include "clusterplan.h"

#include <nlohmann/json.hpp>

namespace monsoongrade::scenarios {

namespace {

constexpr int FailureDomains = 3;
constexpr int PlatformPort = 9000;
// Where relayed daemons listen. Each has a number of its own and reaches all others at ports with
// its number, so that the relay knows by the port who connects.
constexpr int RouterPorts = 7100;
constexpr int SchedulerPorts = 7200;
constexpr int PlatformPorts = 9100;
constexpr int FirstScheduler = 40;

bool isRouter(const std::string &name)
{
    return name.compare(0, 7, "router-") == 0;
}

int daemonNumber(const std::string &name)
{
    return numberIn(name) + (isRouter(name) ? 0 : FirstScheduler);
}

std::string endpointLines(const Subnet &subnet, const std::string &kind, int x, int count,
                          int slots)
{
    std::string lines;
    for (int i = 1; i <= count; ++i)
        lines += "      - {name: " + kind + "-" + std::to_string(i) + ", address: "
            + subnet.address(x, i) + ", port: 8000, slots: " + std::to_string(slots) + "}\n";
    return lines;
}

std::string classLine(const ClusterPlan &plan, const std::string &name, int tier)
{
    return "  - {name: " + name + ", tier: " + std::to_string(tier)
        + ", weight: 1, target: {first-token: 5s, whole-answer: 20s}, max-wait: " + plan.maxWait
        + ", late: " + plan.late + "}\n";
}

std::string poolsFile(const ClusterPlan &plan, const Subnet &subnet)
{
    std::string text = "pools:\n  - name: model-pool\n    kind: engine\n    models: [test-model]\n"
                       "    honours-priority: true\n    silence-timeout: "
        + plan.silenceTimeout + "\n    can-resume: " + (plan.canResume ? "true" : "false")
        + "\n    endpoints:\n" + endpointLines(subnet, "model", 1, plan.engines, plan.slots);
    if (plan.services > 0)
        text += "  - name: portal\n    kind: service\n    silence-timeout: " + plan.silenceTimeout
            + "\n    endpoints:\n"
            + endpointLines(subnet, "service", 2, plan.services, plan.slots * 4);
    return text;
}

std::string rulesFile(const ClusterPlan &plan)
{
    std::string text = "rules:\n";
    for (const char *name : {"high", "mid", "low"})
        text += std::string("  - {match: {path: /v1/, header: x-work, value: ") + name
            + "}, class: " + name + ", run: idempotent}\n";
    if (plan.services > 0)
        text += "  - {match: {path: /portal/read}, class: high, pool: portal, run: idempotent}\n"
                "  - {match: {path: /portal/}, class: high, pool: portal, run: at-most-once}\n";
    return text;
}

} // namespace

ClusterPlan readClusterPlan(configuration::MappingReader reader)
{
    ClusterPlan plan;
    plan.entryHosts = static_cast<int>(reader.integer("entry-hosts", plan.entryHosts, 1, 32));
    plan.engines = static_cast<int>(reader.integer("engines", plan.engines, 1, 32));
    plan.services = static_cast<int>(reader.integer("services", plan.services, 0, 32));
    plan.slots = static_cast<int>(reader.integer("slots", plan.slots, 1, 1000));
    plan.engineSlots = static_cast<int>(reader.integer("engine-slots", plan.slots, 1, 1000));
    plan.queueLimit = static_cast<int>(reader.integer("queue-limit", plan.queueLimit, 1, 100000));
    plan.maxWait = reader.text("max-wait", plan.maxWait);
    plan.late = reader.text("late", plan.late);
    plan.keepAddress = reader.text("keep-address", plan.keepAddress);
    plan.silenceTimeout = reader.text("silence-timeout", plan.silenceTimeout);
    plan.canResume = reader.flag("can-resume", false);
    plan.relayed = reader.flag("relayed", false);
    plan.engineArguments = reader.texts("engine-arguments");
    if (reader.flag("engines-resume", plan.canResume))
        plan.engineArguments.emplace_back("--can-resume");
    for (const auto &[name, text] : reader.textPairs("files"))
        plan.files[name] = text;
    reader.finish();
    return plan;
}

std::map<std::string, std::string> configurationFiles(const ClusterPlan &plan, const Subnet &subnet)
{
    std::map<std::string, std::string> files;
    files["10-classes.yaml"] = "scheduling: {queue-limit: " + std::to_string(plan.queueLimit)
        + "}\nclasses:\n" + classLine(plan, "high", 0) + classLine(plan, "mid", 1)
        + classLine(plan, "low", 2);
    files["20-pools.yaml"] = poolsFile(plan, subnet);
    files["30-rules.yaml"] = rulesFile(plan);
    for (const char *name : {"a", "b"})
        files[std::string("50-") + name + ".yaml"] = std::string("workspaces:\n  - {name: ") + name
            + ", keys: [key-" + name + "], default-class: mid}\n";
    for (const auto &[name, text] : plan.files)
        files[name] = text;
    return files;
}

int numberIn(const std::string &name)
{
    return std::stoi(name.substr(name.rfind('-') + 1));
}

std::string daemonSettings(const ClusterPlan &plan, const Subnet &subnet, const std::string &name)
{
    const std::string host = std::to_string(numberIn(name));
    const int number = daemonNumber(name);
    const int platformPort = plan.relayed ? PlatformPorts + number : PlatformPort;
    std::string text = "cluster: scenario\nhost: entry-" + host
        + "\naddress: " + subnet.address(0, numberIn(name)) + "\nfailure-domain: domain-"
        + std::to_string(numberIn(name) % FailureDomains) + "\nplatform: http://"
        + subnet.address(9, 1) + ":" + std::to_string(platformPort)
        + "\noperator-token: " + OperatorToken + "\nkeep-address: " + plan.keepAddress + "\n";
    if (plan.relayed)
        text += "router-rpc-port: " + std::to_string(RouterPorts + number)
            + "\nscheduler-rpc-port: " + std::to_string(SchedulerPorts + number) + "\n";
    return text;
}

std::vector<RelayRoute> relayRoutes(const ClusterPlan &plan, const Subnet &subnet)
{
    std::vector<std::string> daemons;
    for (int i = 1; plan.relayed && i <= plan.entryHosts; ++i) {
        daemons.push_back("router-" + std::to_string(i));
        daemons.push_back("scheduler-" + std::to_string(i));
    }
    std::vector<RelayRoute> routes;
    for (const std::string &from : daemons) {
        const int number = daemonNumber(from);
        for (const std::string &to : daemons) {
            const int ports = isRouter(to) ? RouterPorts : SchedulerPorts;
            if (to != from)
                routes.push_back({from, to, subnet.address(0, numberIn(to)), ports + number,
                                  ports + daemonNumber(to)});
        }
        routes.push_back(
            {from, "platform", subnet.address(9, 1), PlatformPorts + number, PlatformPort});
    }
    return routes;
}

std::string hostList(const ClusterPlan &plan, const Subnet &subnet,
                     const std::map<std::string, std::string> &states)
{
    nlohmann::json hosts = nlohmann::json::array();
    const auto add = [&](const std::string &kind, const char *role, int x, int count) {
        for (int i = 1; i <= count; ++i) {
            const std::string name = kind + "-" + std::to_string(i);
            const auto state = states.find(name);
            hosts.push_back({{"name", name},
                             {"address", subnet.address(x, i)},
                             {"failure_domain", "domain-" + std::to_string(i % FailureDomains)},
                             {"role", role},
                             {"state", state == states.end() ? "live" : state->second}});
        }
    };
    add("entry", "entry", 0, plan.entryHosts);
    add("model", "endpoint", 1, plan.engines);
    add("service", "endpoint", 2, plan.services);
    return nlohmann::json{{"hosts", hosts}}.dump();
}

} // namespace monsoongrade::scenarios
