#include <monsoongrade/daemon/commandline.h>
#include <monsoongrade/daemon/standincommandline.h>
#include <monsoongrade/daemon/stopsignal.h>
#include <monsoongrade/standins/standinsettings.h>

#include <CLI/CLI.hpp>

#include <cstdlib>
#include <iostream>

namespace {

using namespace monsoongrade;

constexpr int ExitAfterCrash = 70;
constexpr int MaxSlots = 100000;
constexpr double MaxSpeed = 1e6;

void addOptions(CLI::App &app, standins::FakeEngineProgram &settings)
{
    standins::FakeEngineSettings &engine = settings.engine;
    app.add_option("--address", settings.listener.address, "IP number to listen on");
    app.add_option("--port", settings.listener.port, "TCP port to listen on")
        ->check(CLI::Range(1, 65535));
    app.add_option("--slots", engine.slots, "streams that run at once")
        ->check(CLI::Range(1, MaxSlots));
    app.add_option("--tokens-per-second", engine.tokensPerSecond,
                   "speed of one stream that runs alone")
        ->check(CLI::Range(0.001, MaxSpeed));
    app.add_option("--batch-cost", engine.batchCost, "slowing of each stream by every further one")
        ->check(CLI::Range(0.0, 100.0));
    app.add_option("--prefill-micros", engine.prefillMicrosPerByte,
                   "microseconds to read one byte of prompt")
        ->check(CLI::Range(0.0, MaxSpeed));
    app.add_flag("--can-resume", engine.canResume,
                 "continue an answer at the header resume-offset");
    app.add_option("--journal", engine.journalPath, "append each run's begin and end to this file");
    app.add_option("--threads", settings.listener.threads, "threads of the HTTP server")
        ->check(CLI::Range(1, 64));
    app.add_flag("--exit-on-crash", settings.exitOnCrash, "a crash ends the process");
}

int run(standins::FakeEngineProgram settings)
{
    if (settings.exitOnCrash)
        settings.engine.onCrash = [] {
            std::_Exit(ExitAfterCrash);
        };
    daemon::blockStopSignals();
    try {
        standins::FakeEngine engine(settings.engine);
        http::HttpServer server(settings.listener, [&](http::HttpRequest request, auto responder) {
            engine.handle(request, std::move(responder));
        });
        daemon::waitForStopSignal();
        server.stop();
    } catch (const std::exception &error) {
        std::cerr << "monsoongrade-fake-engine: " << error.what() << "\n";
        return daemon::ExitFailed;
    }
    return daemon::ExitOk;
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Stands in for a model engine or a plain service.", "monsoongrade-fake-engine");
    standins::FakeEngineProgram settings;
    addOptions(app, settings);
    const auto parse = [&](const auto &file, auto &problems) {
        standins::parseFakeEngineSettings(file, settings, problems);
    };
    if (const auto exitCode
        = daemon::readStandInCommandLine(app, argc, argv, parse, settings.listener.port))
        return *exitCode;
    return run(settings);
}
