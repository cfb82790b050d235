#include <monsoongrade/daemon/commandline.h>
#include <monsoongrade/daemon/standincommandline.h>
#include <monsoongrade/daemon/stopsignal.h>
#include <monsoongrade/standins/fakeplatform.h>
#include <monsoongrade/standins/standinsettings.h>

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
    app.add_option("--port", settings.port, "TCP port to listen on")->check(CLI::Range(1, 65535));
    app.add_option("--threads", settings.threads, "threads of the HTTP server")
        ->check(CLI::Range(1, 64));
    const auto parse = [&](const auto &file, auto &problems) {
        standins::parseFakePlatformSettings(file, settings, problems);
    };
    if (const auto exitCode = daemon::readStandInCommandLine(app, argc, argv, parse, settings.port))
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
        return daemon::ExitFailed;
    }
    return daemon::ExitOk;
}
