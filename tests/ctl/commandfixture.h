#ifndef MONSOONGRADE_TESTS_CTL_COMMANDFIXTURE_H
#define MONSOONGRADE_TESTS_CTL_COMMANDFIXTURE_H

#include <monsoongrade/ctl/commands.h>
#include <monsoongrade/ctl/fleetclient.h>
#include <monsoongrade/daemon/operatorlistener.h>
#include <monsoongrade/endpoints/curlendpointclient.h>
#include <monsoongrade/endpoints/wholeanswer.h>
#include <monsoongrade/standins/fakeplatform.h>

#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <list>
#include <memory>
#include <sstream>

#include <unistd.h>

namespace monsoongrade::ctl {

// What a command gave.
struct Outcome
{
    int code = 0;
    std::string out;
    std::string err;
};

inline Outcome outcomeOf(const std::function<int()> &command)
{
    std::ostringstream out;
    std::ostringstream err;
    auto *const oldOut = std::cout.rdbuf(out.rdbuf());
    auto *const oldErr = std::cerr.rdbuf(err.rdbuf());
    const int code = command();
    std::cout.rdbuf(oldOut);
    std::cerr.rdbuf(oldErr);
    return {code, out.str(), err.str()};
}

// A platform stand-in with two entry hosts, whose operator listeners the test sets up.
class CommandFixture
{
public:
    CommandFixture()
        : folder(std::filesystem::temp_directory_path()
                 / ("monsoongrade-ctl-test-" + std::to_string(getpid())))
    {
        http::HttpServerSettings listener;
        listener.address = address(9);
        listener.port = 9000;
        platformServer_ = std::make_unique<http::HttpServer>(
            listener, [this](const http::HttpRequest &request, auto responder) {
                platform_.handle(request, std::move(responder));
            });
        options.platform = "http://" + address(9) + ":9000";
        options.operatorToken = "token";
        tellPlatform("/admin/hosts", R"({"hosts":[)" + host(1) + "," + host(2) + "]}");
        std::filesystem::remove_all(folder);
        std::filesystem::create_directories(folder);
    }
    ~CommandFixture() { std::filesystem::remove_all(folder); }

    // A daemon at the host's router or scheduler port that says this about itself.
    void serve(
        int number, DaemonKind kind, const std::string &status,
        const std::string &explanation = R"({"decisions":[]})",
        const std::function<void()> &onStatus = [] {})
    {
        auto &service = services_.emplace_back("token", [] { return true; });
        service.addPage("/operator/status", [status, onStatus](const std::string &) {
            onStatus();
            return status;
        });
        service.addPage("/operator/explain",
                        [explanation](const std::string &) { return explanation; });
        service.addPage("/metrics", [](const std::string &) { return std::string("a 1\n"); });
        listeners_.emplace_back(address(number),
                                kind == DaemonKind::Router ? options.operatorPort
                                                           : options.schedulerOperatorPort,
                                service);
    }
    void serveAll(const std::string &status)
    {
        for (const int number : {1, 2}) {
            serve(number, DaemonKind::Router, status);
            serve(number, DaemonKind::Scheduler, status);
        }
    }
    void setOutage(bool isDown)
    {
        tellPlatform("/admin/switches", isDown ? R"({"outage":true})" : R"({"outage":false})");
    }
    std::string write(const std::string &name, const std::string &text) const
    {
        std::ofstream(folder / name) << text;
        return (folder / name).string();
    }
    Outcome apply(const std::string &path, int wait = 0) const
    {
        return outcomeOf([&] { return applyCommand(path, wait, options); });
    }

    // Test cases run as processes beside each other; each has addresses of its own, below those
    // that scenarios take (127.100 and above).
    static std::string address(int number)
    {
        constexpr int Numbers = 250;
        return "127." + std::to_string(50 + getpid() / Numbers % 25) + "."
            + std::to_string(getpid() % Numbers) + "." + std::to_string(number);
    }

    std::filesystem::path folder;
    Options options;

private:
    void tellPlatform(const std::string &path, const std::string &body)
    {
        endpoints::EndpointRequest request;
        request.method = "PUT";
        request.url = options.platform + path;
        request.body = body;
        endpoints::callAndWait(client_, request);
    }
    static std::string host(int number)
    {
        return R"({"name":"entry-)" + std::to_string(number) + R"(","address":")" + address(number)
            + R"(","failure_domain":"d","role":"entry","state":"live"})";
    }

    standins::FakePlatform platform_;
    std::unique_ptr<http::HttpServer> platformServer_;
    endpoints::CurlEndpointClient client_;
    std::list<daemon::OperatorService> services_;
    std::list<daemon::OperatorListener> listeners_;
};

} // namespace monsoongrade::ctl

#endif // MONSOONGRADE_TESTS_CTL_COMMANDFIXTURE_H
