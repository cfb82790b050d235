#include <monsoongrade/daemon/parsearguments.h>
#include <monsoongrade/daemon/stopsignal.h>
#include <monsoongrade/http/httpserver.h>
#include <monsoongrade/standins/fakeplatform.h>

#include <CLI/CLI.hpp>

#include <iostream>

int main(int argc, char **argv)
{
    using namespace monsoongrade;
    CLI::App app("Stands in for the platform: object API and host list.",
                 "monsoongrade-fake-platform");
    http::HttpServerSettings settings;
    settings.bodyLimit = 4 * 1024 * 1024;
    app.add_option("--address", settings.address, "IP number to listen on");
    app.add_option("--port", settings.port, "TCP port to listen on")->required();
    app.set_version_flag("--version", std::string(MONSOONGRADE_VERSION));
    if (const auto exitCode = daemon::parseArguments(app, argc, argv))
        return *exitCode;
    daemon::blockStopSignals();
    try {
        standins::FakePlatform platform;
        http::HttpServer server(settings, [&](http::HttpRequest request, auto responder) {
            platform.handle(request, std::move(responder));
        });
        daemon::waitForStopSignal();
        server.stop();
    } catch (const std::exception &error) {
        std::cerr << "monsoongrade-fake-platform: " << error.what() << "\n";
        return 1;
    }
    return 0;
}
