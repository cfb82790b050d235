// What does the configuration cost a daemon as workspaces grow: its text, the time to parse and
// check it, its memory, and the time to classify one request under it?
//
//   bench-configuration-cost

#include <monsoongrade/configuration/configurationparser.h>
#include <monsoongrade/requests/classifier.h>

#include <chrono>
#include <cstdio>
#include <fstream>
#include <string>
#include <unistd.h>

namespace {

using namespace monsoongrade;
using Clock = std::chrono::steady_clock;

constexpr int Models = 33;
constexpr int Endpoints = 910;
constexpr int Classifications = 2000;

double milliseconds(Clock::duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

// Resident memory in kilobytes.
long residentKilobytes()
{
    std::ifstream statm("/proc/self/statm");
    long total = 0;
    long resident = 0;
    statm >> total >> resident;
    return resident * sysconf(_SC_PAGESIZE) / 1024;
}

std::string poolsText()
{
    std::string text = "pools:\n";
    for (int model = 0; model < Models; ++model) {
        const std::string name = "model-" + std::to_string(model);
        text += "  - name: pool-" + name + "\n    models: [" + name + "]\n    endpoints:\n";
        for (int i = model; i < Endpoints; i += Models)
            text += "      - {name: e-" + std::to_string(i) + ", address: 10.0.0.1, slots: 16}\n";
    }
    return text;
}

std::vector<configuration::SourceFile> filesFor(int workspaces)
{
    std::vector<configuration::SourceFile> files{
        {"10.yaml",
         "classes:\n  - {name: a}\n  - {name: b, tier: 1}\n  - {name: c, tier: 2}\n"
         "  - {name: d, tier: 3}\n"},
        {"20.yaml", poolsText()}};
    for (int i = 0; i < workspaces; ++i) {
        const std::string name = "workspace-" + std::to_string(i);
        files.push_back({"50-" + name + ".yaml",
                         "workspaces:\n  - {name: " + name + ", keys: [key-" + name
                             + "-0123456789abcdef], default-class: a}\n"});
    }
    return files;
}

void measure(int workspaces)
{
    const auto files = filesFor(workspaces);
    std::size_t bytes = 0;
    for (const auto &file : files)
        bytes += file.text.size();
    const long before = residentKilobytes();
    const auto start = Clock::now();
    auto parsed = configuration::parseConfiguration(files);
    const auto parseTime = Clock::now() - start;
    const auto shared
        = std::make_shared<const configuration::Configuration>(std::move(parsed.configuration));
    const long grown = residentKilobytes() - before;

    http::HttpRequest request;
    request.method = "POST";
    request.path = "/v1/chat/completions";
    request.headers
        = {{"authorization",
            "Bearer key-workspace-" + std::to_string(workspaces / 2) + "-0123456789abcdef"}};
    request.body = R"({"model":"model-7","messages":[{"role":"user","content":")"
        + std::string(600, 'x') + "\"}]}";
    const auto begin = Clock::now();
    for (int i = 0; i < Classifications; ++i) {
        const auto outcome = units::capture(
            [&] { return requests::classify(request, units::RequestId("r"), shared); });
        if (!outcome.value)
            std::printf("not classified: %s\n", outcome.error.message.c_str());
    }
    const double micros = milliseconds(Clock::now() - begin) * 1000 / Classifications;
    std::printf("%10d %12zu %10.1f %12ld %14.2f\n", workspaces, bytes, milliseconds(parseTime),
                grown, micros);
}

} // namespace

int main()
{
    std::printf("%10s %12s %10s %12s %14s\n", "workspaces", "text bytes", "parse ms", "memory KiB",
                "classify us");
    for (const int workspaces : {10, 100, 1000, 4900})
        measure(workspaces);
    return 0;
}
