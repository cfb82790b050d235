#include "cluster.h"

#include "metricstext.h"

#include <fstream>
#include <stdexcept>
#include <thread>

namespace monsoongrade::scenarios {

namespace {

constexpr auto ReadyLimit = std::chrono::seconds(10);
constexpr auto ReadyCheck = std::chrono::milliseconds(30);
constexpr auto CallLimit = std::chrono::seconds(3);
constexpr auto ApplyLimit = std::chrono::seconds(10);

bool startsWith(const std::string &text, const std::string &beginning)
{
    return text.compare(0, beginning.size(), beginning) == 0;
}

void writeFile(const std::filesystem::path &path, const std::string &text)
{
    std::ofstream out(path);
    out << text;
    if (!out.flush())
        throw std::runtime_error("can't write " + path.string());
}

} // namespace

Cluster::Cluster(ClusterPlan plan, std::filesystem::path programs, std::filesystem::path folder)
    : plan_(std::move(plan))
    , programs_(std::move(programs))
    , folder_(std::move(folder))
{
}

void Cluster::start()
{
    for (const RelayRoute &route : relayRoutes(plan_, subnet_))
        relay_.add(route);
    startProcess("platform");
    waitForAnswer(url("platform") + "/v1/hosts");
    call("PUT", url("platform") + "/admin/hosts", hostList(plan_, subnet_, hostStates_));
    if (apply(configurationFiles(plan_, subnet_), "configuration") != 0)
        throw std::runtime_error("the configuration is not accepted; see the log configuration");
    for (int i = 1; i <= plan_.engines; ++i)
        startProcess("model-" + std::to_string(i));
    for (int i = 1; i <= plan_.services; ++i)
        startProcess("service-" + std::to_string(i));
    for (int i = 1; i <= plan_.entryHosts; ++i) {
        startProcess("scheduler-" + std::to_string(i));
        startProcess("router-" + std::to_string(i));
    }
    for (const std::string &router : names("router-"))
        waitForAnswer(url(router) + "/readyz");
    for (const std::string &endpoint : names("model-"))
        waitForAnswer(url(endpoint) + "/load");
    for (const std::string &endpoint : names("service-"))
        waitForAnswer(url(endpoint) + "/load");
}

void Cluster::startProcess(const std::string &name)
{
    std::unique_ptr<Process> &process = processes_[name];
    // A restarted process takes the address of the one before it, which must be gone by then: on a
    // busy machine a killed process keeps its listening socket for some milliseconds.
    process.reset();
    process = std::make_unique<Process>(commandOf(name), (folder_ / (name + ".log")).string());
    setDown(name, false);
}

Process &Cluster::process(const std::string &name)
{
    const auto found = processes_.find(name);
    if (found == processes_.end())
        throw std::runtime_error("no process is named " + name);
    return *found->second;
}

std::vector<std::string> Cluster::names(const std::string &beginning) const
{
    std::vector<std::string> found;
    for (const auto &entry : processes_) {
        if (startsWith(entry.first, beginning))
            found.push_back(entry.first);
    }
    return found;
}

std::vector<std::string> Cluster::chosen(const std::string &name) const
{
    if (startsWith(name, "entry-"))
        return {"router-" + name.substr(6), "scheduler-" + name.substr(6)};
    if (name.empty() || name.back() != '*')
        return {name};
    return names(name.substr(0, name.size() - 1));
}

void Cluster::setDown(const std::string &name, bool isDown)
{
    if (isDown)
        down_.insert(name);
    else
        down_.erase(name);
}

int Cluster::apply(const std::map<std::string, std::string> &files, const std::string &logName)
{
    const auto folder = folder_ / logName;
    std::filesystem::create_directories(folder);
    for (const auto &[name, text] : files)
        writeFile(folder / name, text);
    Process process({program("monsoongradectl"), "apply", folder.string(), "--platform",
                     url("platform"), "--wait", "0"},
                    (folder_ / (logName + ".log")).string());
    const auto code = process.waitForExit(ApplyLimit);
    if (!code)
        throw std::runtime_error("monsoongradectl apply has not ended in 10 s");
    return *code;
}

void Cluster::setHostState(const std::string &host, const std::string &state)
{
    hostStates_[host] = state;
    call("PUT", url("platform") + "/admin/hosts", hostList(plan_, subnet_, hostStates_));
}

std::string Cluster::url(const std::string &name) const
{
    if (name == "platform")
        return "http://" + subnet_.address(9, 1) + ":9000";
    if (startsWith(name, "router-"))
        return "http://" + subnet_.address(0, numberIn(name)) + ":8080";
    if (startsWith(name, "scheduler-"))
        return "http://" + subnet_.address(0, numberIn(name)) + ":8082";
    return "http://" + subnet_.address(startsWith(name, "model-") ? 1 : 2, numberIn(name))
        + ":8000";
}

endpoints::WholeAnswer Cluster::call(const std::string &method, const std::string &url,
                                     const std::string &body, const endpoints::Headers &headers)
{
    endpoints::EndpointRequest request;
    request.method = method;
    request.url = url;
    request.body = body;
    request.headers = headers;
    request.connectTimeout = CallLimit;
    request.silenceTimeout = CallLimit;
    request.freshConnection = true;
    return endpoints::callAndWait(client_, request);
}

endpoints::Headers Cluster::operatorHeaders()
{
    return {{"Authorization", "Bearer " + std::string(OperatorToken)}};
}

std::optional<std::map<std::string, double>> Cluster::metrics(const std::string &daemon)
{
    std::string base = url(daemon);
    if (startsWith(daemon, "router-"))
        base.replace(base.rfind(':'), std::string::npos, ":8081");
    const auto page = call("GET", base + "/metrics", {}, operatorHeaders());
    if (page.status != 200)
        return std::nullopt;
    return readMetrics(page.body);
}

void Cluster::waitForAnswer(const std::string &url)
{
    const auto until = std::chrono::steady_clock::now() + ReadyLimit;
    while (std::chrono::steady_clock::now() < until) {
        if (call("GET", url).status == 200)
            return;
        std::this_thread::sleep_for(ReadyCheck);
    }
    throw std::runtime_error("no good answer from " + url + " in 10 s");
}

std::filesystem::path Cluster::journal(const std::string &endpoint) const
{
    return folder_ / (endpoint + ".journal");
}

std::vector<std::string> Cluster::commandOf(const std::string &name) const
{
    if (name == "platform")
        return {program("monsoongrade-fake-platform"), "--address", subnet_.address(9, 1), "--port",
                "9000"};
    if (startsWith(name, "model-") || startsWith(name, "service-")) {
        const int x = startsWith(name, "model-") ? 1 : 2;
        std::vector<std::string> command{program("monsoongrade-fake-engine"),
                                         "--address",
                                         subnet_.address(x, numberIn(name)),
                                         "--port",
                                         "8000",
                                         "--slots",
                                         std::to_string(plan_.engineSlots),
                                         "--journal",
                                         journal(name).string()};
        command.insert(command.end(), plan_.engineArguments.begin(), plan_.engineArguments.end());
        return command;
    }
    const auto settings = folder_ / (name + ".yaml");
    writeFile(settings, daemonSettings(plan_, subnet_, name));
    return {program(startsWith(name, "router-") ? "monsoongrade-router" : "monsoongrade-scheduler"),
            "--config", settings.string()};
}

std::string Cluster::program(const std::string &name) const
{
    return (programs_ / name).string();
}

} // namespace monsoongrade::scenarios
