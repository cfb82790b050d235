// An entry by another writer holds bytes that can't be read; then a worker of a sound entry drains.
#include "platform.h"

#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <exception>

namespace {

using namespace review;

constexpr int Held = 0;
constexpr int Broken = 1;
constexpr int CouldNotRun = 2;

constexpr int Gateways = 3;
constexpr int Workers = 3;
constexpr int ClientsPerGateway = 4;
constexpr std::int64_t DrainMs = 2000;
constexpr std::int64_t ContactMs = 3000;
// "a little longer (at times many seconds)"
constexpr std::int64_t ServesOnMs = 8000;

const char *const Configuration = R"({"version":3,"routes":[{"name":"r1","host":"portal.example",
"path_prefix":"/status/","service":"portal","kind":"unsafe","timeout_ms":2000,
"target_latency_ms":300,"priority":1,"max_attempts":1},{"name":"r2","host":"portal.example",
"path_prefix":"/report/","service":"portal","kind":"safe","timeout_ms":2000,
"target_latency_ms":300,"priority":1,"max_attempts":2}],"services":[{"name":"portal",
"max_connections":96,"health_path":"/healthz"}],"limits":{"max_header_bytes":16384,
"max_body_bytes":4194304,"header_timeout_ms":5000,"idle_timeout_ms":30000},
"tenants":[{"name":"club","api_keys":["key-of-club"],"priority":0}]})";

// The spec of the foreign entry.
std::string foreignSpec()
{
    const char *const form = std::getenv("FORM");
    if (form != nullptr && std::strcmp(form, "escaped") == 0) // each half of a pair by itself
        return "{\"service\":\"portal\",\"address\":\"\\udcff\\udcfe\",\"state\":\"ready\"}";
    if (form != nullptr && std::strcmp(form, "readable") == 0) // names no worker, but can be read
        return "{\"service\":7,\"state\":\"asleep\"}";
    return "{\"service\":\"portal\",\"address\":\"\xff\xfe\",\"state\":\"ready\"}";
}

int play(Record &record, const std::string &folder, bool hasTrouble)
{
    Store store(record);
    Arrivals arrivals;
    Attempts attempts;
    store.put("config", "main", Configuration);
    std::vector<std::unique_ptr<Worker>> workers;
    for (int i = 0; i < Workers; ++i)
        workers.push_back(std::make_unique<Worker>(
            store, arrivals, Worker::Settings{"i-" + std::to_string(i), "portal"}));
    const std::string net = ownNet();
    std::vector<std::unique_ptr<Gateway>> gateways;
    for (int i = 1; i <= Gateways; ++i) {
        gateways.push_back(std::make_unique<Gateway>(
            i, net, folder, store.addAddress(), std::vector<std::string>{net + ".1", net + ".2"}));
        gateways.back()->start();
    }
    for (const auto &gateway : gateways) {
        if (!gateway->awaitReady(10000)) {
            record.write("a gateway did not become ready");
            return CouldNotRun;
        }
    }
    std::vector<std::unique_ptr<Client>> clients;
    for (int i = 0; i < Gateways * ClientsPerGateway; ++i) {
        Client::Settings settings;
        settings.name = "c" + std::to_string(i);
        settings.gateway = gateways[std::size_t(i % Gateways)]->callers();
        settings.host = "portal.example";
        settings.method = i % 2 == 0 ? "GET" : "POST";
        settings.path = i % 2 == 0 ? "/report/" : "/status/";
        settings.key = "key-of-club";
        settings.pauseMs = 100;
        clients.push_back(std::make_unique<Client>(attempts, settings));
    }
    sleepMs(ContactMs + 1000);
    if (hasTrouble) {
        store.put("servers", "entry-of-another-writer", foreignSpec());
        record.write("another writer's entry stands in the store");
    }
    sleepMs(1000);
    workers.push_back(
        std::make_unique<Worker>(store, arrivals, Worker::Settings{"i-new", "portal"}));
    record.write("i-new has started");
    sleepMs(500);
    workers.front()->announceDraining();
    const std::int64_t drainedAt = nowMs();
    record.write("the store has acknowledged that i-0 is draining");
    sleepMs(ServesOnMs);
    for (const auto &gateway : gateways) {
        if (!gateway->isRunning()) {
            record.write("a gateway has ended");
            return CouldNotRun;
        }
    }
    for (const auto &client : clients)
        client->stop();
    clients.clear();
    writeAll(record, attempts, arrivals);
    int late = 0;
    int atNew = 0;
    for (const Arrival &arrival : arrivals.all()) {
        const bool isLate
            = arrival.ran && arrival.worker == "i-0" && arrival.at > drainedAt + DrainMs;
        late += isLate ? 1 : 0;
        atNew += arrival.worker == "i-new" ? 1 : 0;
        if (isLate)
            record.write("late at i-0: " + arrival.id + ", "
                         + std::to_string(arrival.at - drainedAt) + " ms after");
    }
    std::map<int, int> byStatus;
    for (const Attempt &attempt : attempts.all())
        ++byStatus[attempt.status];
    for (const auto &[status, count] : byStatus)
        record.write("answered " + std::to_string(status) + ": " + std::to_string(count));
    record.write("ran at i-new: " + std::to_string(atNew));
    record.write("reached i-0 later than drain_ms after the acknowledgement: "
                 + std::to_string(late));
    return late > 0 ? Broken : Held;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 3)
        return CouldNotRun;
    const char *const trouble = std::getenv("TROUBLE");
    try {
        Record record(argv[1]);
        return play(record, argv[2], trouble == nullptr || std::strcmp(trouble, "0") != 0);
    } catch (const std::exception &error) {
        std::fprintf(stderr, "%s\n", error.what());
        return CouldNotRun;
    }
}
