#include <monsoongrade/ctl/commands.h>

#include <ctl/internal/session.h>

#include <monsoongrade/ctl/exposition.h>
#include <monsoongrade/ctl/printer.h>

#include <algorithm>
#include <cctype>
#include <cstdio>
#include <map>
#include <set>
#include <thread>

#include <unistd.h>

namespace monsoongrade::ctl {

namespace {

using nlohmann::json;

constexpr auto TopPeriod = std::chrono::seconds(1);
const char *const ClearScreen = "\033[H\033[2J";

std::string namesWith(const json &status, const char *mark)
{
    std::string out;
    for (const json &host : status["hosts"]) {
        if (host.value(mark, false))
            out += (out.empty() ? "" : ",") + host.value("host", std::string());
    }
    return out.empty() ? "-" : out;
}

std::string statusText(const json &all)
{
    char line[256];
    std::snprintf(line, sizeof(line), "%-14s %-10s %-18s %-8s %10s %8s %6s  %s\n", "host", "daemon",
                  "failure domain", "state", "generation", "age s", "open", "suspects / leaving");
    std::string out = line;
    for (const json &daemon : all["daemons"]) {
        const std::string name = daemon.value("host", "");
        const std::string kind = daemon.value("daemon", "");
        if (!daemon.contains("status")) {
            std::snprintf(line, sizeof(line), "%-14s %-10s ", name.c_str(), kind.c_str());
            out += line + daemon.value("fault", "") + "\n";
            continue;
        }
        const json &status = daemon["status"];
        const char *const open = kind == "router" ? "open_requests" : "routers_using";
        std::snprintf(line, sizeof(line), "%-14s %-10s %-18s %-8s %10llu %8.0f %6llu  %s / %s\n",
                      name.c_str(), kind.c_str(), status.value("failure_domain", "").c_str(),
                      status.value("leaving", false) ? "leaving" : "live",
                      static_cast<unsigned long long>(status.value("generation", 0ULL)),
                      status.value("generation_age_seconds", 0.0),
                      static_cast<unsigned long long>(status.value(open, 0ULL)),
                      namesWith(status, "suspected").c_str(), namesWith(status, "leaving").c_str());
        out += line;
    }
    return out;
}

std::string explainText(const json &explanation)
{
    char line[512];
    std::string out = explanation.value("request", "") + "\n";
    for (const json &decision : explanation["decisions"]) {
        std::snprintf(line, sizeof(line), "%10.1f ms  %-10s %4d %-28s %s\n",
                      decision.value("after_ms", 0.0), decision.value("decision", "").c_str(),
                      decision.value("code", 0), decision.value("reason", "").c_str(),
                      decision.value("detail", "").c_str());
        out += line;
    }
    return out;
}

// Made of what routers use, so that it can stand in a query as it is.
bool isRequestId(const std::string &text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), [](unsigned char c) {
        return std::isalnum(c) != 0 || c == '.' || c == '-' || c == '_';
    });
}

// Request ids begin with the name of the host whose router gave them.
bool isFrom(const std::string &requestId, const platform::Host &host)
{
    return requestId.compare(0, host.name.value().size() + 1, host.name.value() + ".") == 0;
}

// Sums of one class's counters over all routers.
using ClassCounts = std::map<std::string, double>;

void addSamples(std::map<std::string, ClassCounts> &classes, const std::string &text)
{
    const std::string prefix = "monsoongrade_requests_";
    const std::string suffix = "_total";
    for (const Sample &sample : readExposition(text)) {
        const auto label = sample.labels.find("class");
        if (label == sample.labels.end() || sample.name.compare(0, prefix.size(), prefix) != 0)
            continue;
        std::string counter = sample.name.substr(prefix.size());
        if (counter.size() > suffix.size())
            counter.resize(counter.size() - suffix.size());
        classes[label->second][counter] += sample.value;
        const auto reason = sample.labels.find("reason");
        if (reason != sample.labels.end())
            classes[label->second][counter + " " + reason->second] += sample.value;
    }
}

std::string topText(const json &classes)
{
    char line[256];
    std::snprintf(line, sizeof(line), "%-20s %9s %9s %8s %8s %6s %9s\n", "class", "accepted",
                  "completed", "refused", "failed", "open", "attained");
    std::string out = line;
    for (const auto &[name, counts] : classes.items()) {
        const double accepted = counts.value("accepted", 0.0);
        const double ended = counts.value("completed", 0.0) + counts.value("refused", 0.0)
            + counts.value("failed", 0.0);
        std::snprintf(line, sizeof(line), "%-20s %9.0f %9.0f %8.0f %8.0f %6.0f %8.1f%%\n",
                      name.c_str(), accepted, counts.value("completed", 0.0),
                      counts.value("refused", 0.0), counts.value("failed", 0.0), accepted - ended,
                      100 * counts.value("attained", 0.0) / std::max(1.0, ended));
        out += line;
        for (const auto &[counter, count] : counts.items()) {
            if (counter.find(' ') != std::string::npos)
                out += "    " + counter + ": " + std::to_string(count.get<long long>()) + "\n";
        }
    }
    return out;
}

} // namespace

bool asksDaemonsOnly(const std::string &command)
{
    return command == "status" || command == "explain" || command == "top";
}

int statusCommand(const Options &options)
{
    internal::Session session(options);
    return internal::runReportingErrors([&]() -> units::Result<int> {
        BOOST_LEAF_AUTO(pages, session.fleet.allPages("/operator/status"));
        json out{{"daemons", json::array()}};
        bool allAnswered = true;
        for (const DaemonPage &page : pages) {
            const bool isRouter = page.daemon == DaemonKind::Router;
            json daemon{{"host", page.host.name.value()},
                        {"daemon", isRouter ? "router" : "scheduler"}};
            const json status = json::parse(page.body, nullptr, false);
            if (status.is_object())
                daemon["status"] = status;
            else
                daemon["fault"] = page.fault;
            allAnswered = allAnswered && status.is_object();
            out["daemons"].push_back(daemon);
        }
        print(std::cout, options.output, out, statusText);
        return allAnswered ? ExitOk : ExitFailed;
    });
}

int explainCommand(const std::string &requestId, const Options &options)
{
    internal::Session session(options);
    return internal::runReportingErrors([&]() -> units::Result<int> {
        if (!isRequestId(requestId))
            return internal::refuseName("\"" + requestId + "\" can't be a request id");
        BOOST_LEAF_AUTO(pages, session.fleet.routerPages("/operator/explain?request=" + requestId));
        // The router that gave the id first: others may know a part, by a shared key.
        std::stable_partition(pages.begin(), pages.end(),
                              [&](const DaemonPage &page) { return isFrom(requestId, page.host); });
        for (const DaemonPage &page : pages) {
            const json explanation = json::parse(page.body, nullptr, false);
            if (!explanation.is_object() || explanation["decisions"].empty())
                continue;
            print(std::cout, options.output, explanation, explainText);
            return ExitOk;
        }
        std::cerr << "no router that answered remembers request " << requestId
                  << "; each keeps only its latest decisions, and a restart forgets them\n";
        internal::printFaults(pages);
        return ExitFailed;
    });
}

int topCommand(int rounds, const Options &options)
{
    internal::Session session(options);
    const bool isLive = options.output == OutputFormat::Text && isatty(STDOUT_FILENO) == 1;
    for (int round = 1;; ++round) {
        const int result = internal::runReportingErrors([&]() -> units::Result<int> {
            BOOST_LEAF_AUTO(pages, session.fleet.routerPages("/metrics"));
            std::map<std::string, ClassCounts> classes;
            for (const DaemonPage &page : pages)
                addSamples(classes, page.body);
            if (isLive)
                std::cout << ClearScreen;
            print(std::cout, options.output, json(classes), topText);
            std::cout << std::flush;
            return internal::printFaults(pages) == pages.size() ? ExitFailed : ExitOk;
        });
        if (result != ExitOk || round == rounds)
            return result;
        std::cout << std::endl;
        std::this_thread::sleep_for(TopPeriod);
    }
}

} // namespace monsoongrade::ctl
