#include <monsoongrade/daemon/parsearguments.h>
#include <monsoongrade/daemon/stopsignal.h>
#include <monsoongrade/http/httpserver.h>
#include <monsoongrade/standins/fakeengine.h>

#include <CLI/CLI.hpp>

#include <cstdlib>
#include <iostream>

namespace {

constexpr int ExitAfterCrash = 70;

} // namespace

int main(int argc, char **argv)
{
    using namespace monsoongrade;
    CLI::App app("Stands in for a model engine or a plain service.", "monsoongrade-fake-engine");
    http::HttpServerSettings listener;
    standins::FakeEngineSettings engineSettings;
    app.add_option("--address", listener.address, "IP number to listen on");
    app.add_option("--port", listener.port, "TCP port to listen on")->required();
    app.add_option("--slots", engineSettings.slots, "streams that run at once");
    app.add_option("--tokens-per-second", engineSettings.tokensPerSecond,
                   "speed of one stream that runs alone");
    app.add_option("--batch-cost", engineSettings.batchCost,
                   "slowing of each stream by every further one");
    app.add_option("--prefill-micros", engineSettings.prefillMicrosPerByte,
                   "microseconds to read one byte of prompt");
    app.add_flag("--can-resume", engineSettings.canResume,
                 "continue an answer at the header resume-offset");
    app.add_option("--journal", engineSettings.journalPath,
                   "append each run's begin and end to this file");
    app.add_option("--threads", listener.threads, "threads of the HTTP server");
    bool exitOnCrash = false;
    app.add_flag("--exit-on-crash", exitOnCrash, "a crash ends the process");
    app.set_version_flag("--version", std::string(MONSOONGRADE_VERSION));
    if (const auto exitCode = daemon::parseArguments(app, argc, argv))
        return *exitCode;
    if (exitOnCrash)
        engineSettings.onCrash = [] {
            std::_Exit(ExitAfterCrash);
        };
    daemon::blockStopSignals();
    try {
        standins::FakeEngine engine(engineSettings);
        http::HttpServer server(listener, [&](http::HttpRequest request, auto responder) {
            engine.handle(request, std::move(responder));
        });
        daemon::waitForStopSignal();
        server.stop();
    } catch (const std::exception &error) {
        std::cerr << "monsoongrade-fake-engine: " << error.what() << "\n";
        return 1;
    }
    return 0;
}
