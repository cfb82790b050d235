#include <monsoongrade/daemon/loglevels.h>
#include <monsoongrade/daemon/parsearguments.h>
#include <monsoongrade/daemon/settingsfile.h>
#include <monsoongrade/gateway/dutyservice.h>
#include <monsoongrade/gateway/quarantinepersister.h>
#include <monsoongrade/gateway/versionpersister.h>
#include <monsoongrade/httpio/socketoptions.h>
#include <monsoongrade/observability/log.h>
#include <monsoongrade/units/bootclock.h>

#include <platform/dutyobjectstore.h>
#include <platform/dutyplatformclient.h>
#include <platform/platformheadercodec.h>
#include <platform/platformpages.h>
#include <platform/platformwatcher.h>
#include <platform/quarantineobjectstore.h>
#include <platform/versionobjectstore.h>

#include <CLI/CLI.hpp>
#include <asio/signal_set.hpp>

#include <sys/stat.h>

#include <csignal>
#include <iostream>
#include <optional>

namespace {

using namespace monsoongrade;

constexpr int ExitOk = 0;
constexpr int ExitFailed = 1;
constexpr int ExitBadSettings = 2;
// The settings file may change without a signal; one stat call a second is cheap.
constexpr auto SettingsCheck = std::chrono::seconds(1);

bool readSettings(const std::string &path, gateway::GatewaySettings &settings)
{
    return daemon::readSettingsFile(path, [&](const auto &file, auto &problems) {
        settings = gateway::parseGatewaySettings(file, problems);
    });
}

// Blocks or unblocks the signals that the supervisor handles. They are blocked until then: one that
// comes while the process starts must not end it without a shutdown.
void maskSignals(int how)
{
    sigset_t signals;
    sigemptyset(&signals);
    for (const int signal : {SIGTERM, SIGINT, SIGHUP})
        sigaddset(&signals, signal);
    pthread_sigmask(how, &signals, nullptr);
}

// Zero if the file can't be read.
timespec changeTime(const std::string &path)
{
    struct stat status
    {
    };
    return stat(path.c_str(), &status) == 0 ? status.st_mtim : timespec{};
}

// The duties of one host at a time, with the calls to the platform that they make.
class Duties
{
public:
    Duties(asio::io_context &io, httpio::Timers &timers, gateway::Gateway &gateway,
           const asio::ip::tcp::endpoint &store, const asio::ip::tcp::endpoint &platform,
           const units::Clock &clock)
        : client_(io, timers, gateway.state().log.metrics)
        , objects_(client_, store)
        , calls_(client_, platform, gateway.settings().host.value())
        , service_(timers, gateway, {objects_, objects_, objects_}, calls_, clock)
    {
        service_.start();
    }

    void stop() { service_.stop(); }

private:
    platform::StoreClient client_;
    platform::DutyObjectStore objects_;
    platform::DutyPlatformClient calls_;
    gateway::DutyService service_;
};

// Reads the settings again when they change or SIGHUP comes, and stops on SIGTERM and SIGINT.
class Supervisor
{
public:
    Supervisor(asio::io_context &io, httpio::Timers &timers, gateway::Gateway &gateway,
               std::optional<Duties> &duties, std::string path, const timespec &changedAt)
        : io_(io)
        , timers_(timers)
        , gateway_(gateway)
        , duties_(duties)
        , path_(std::move(path))
        , signals_(io, SIGTERM, SIGINT, SIGHUP)
        , changedAt_(changedAt)
    {
    }

    void start()
    {
        awaitSignal();
        maskSignals(SIG_UNBLOCK);
        checkSettings();
    }

private:
    void awaitSignal()
    {
        signals_.async_wait([this](const asio::error_code &error, int signal) {
            if (error)
                return;
            if (signal == SIGHUP)
                reload();
            else
                stop();
            awaitSignal();
        });
    }

    void stop()
    {
        if (duties_)
            duties_->stop();
        gateway_.stop([this] { io_.stop(); });
    }

    void checkSettings()
    {
        const timespec now = changeTime(path_);
        if (now.tv_sec != changedAt_.tv_sec || now.tv_nsec != changedAt_.tv_nsec) {
            changedAt_ = now;
            reload();
        }
        timers_.after(SettingsCheck, [this] { checkSettings(); });
    }

    void reload()
    {
        gateway::GatewaySettings settings;
        if (readSettings(path_, settings))
            gateway_.reload(settings);
        else
            observability::log(observability::LogLevel::Error, "settings-not-reloaded",
                               {{"path", path_}});
    }

    asio::io_context &io_;
    httpio::Timers &timers_;
    gateway::Gateway &gateway_;
    std::optional<Duties> &duties_;
    std::string path_;
    asio::signal_set signals_;
    timespec changedAt_;
};

// changedAt: of the settings file, before it was read.
int run(const gateway::GatewaySettings &settings, const std::string &path,
        const timespec &changedAt)
{
    const auto store = httpio::parseAddress(settings.storeAddress);
    if (!store) {
        std::cerr << "store-address is not IP:PORT: \"" << settings.storeAddress << "\"\n";
        return ExitBadSettings;
    }
    const units::BootClock clock;
    const units::TimePoint startedAt = clock.now();
    const auto dutiesAddress = httpio::parseAddress(settings.dutiesAddress);
    if (settings.reportsUsage() && !dutiesAddress) {
        std::cerr << "duties-address is not IP:PORT: \"" << settings.dutiesAddress << "\"\n";
        return ExitBadSettings;
    }
    // One thread runs everything, so the loop needs no locks.
    asio::io_context io(ASIO_CONCURRENCY_HINT_UNSAFE_IO);
    httpio::Timers timers(io, clock);
    const platform::PlatformHeaderCodec dialect;
    gateway::Gateway gateway(io, timers, settings, dialect,
                             {platform::serveReadiness, platform::serveDirectory});
    gateway.start();
    platform::PlatformWatcher feed(io, timers, gateway, *store, settings.relayPort);
    feed.start();
    platform::StoreClient storeClient(io, timers, gateway.state().log.metrics);
    platform::QuarantineObjectStore quarantineObjects(storeClient, *store);
    gateway::QuarantinePersister quarantineKeeper(timers, gateway.state().crashes,
                                                  quarantineObjects);
    quarantineKeeper.start();
    platform::VersionObjectStore versionObjects(storeClient, *store);
    gateway::VersionPersister versionPersister(timers, gateway, versionObjects, versionObjects);
    versionPersister.start();
    std::optional<Duties> duties;
    if (settings.reportsUsage())
        duties.emplace(io, timers, gateway, *store, *dutiesAddress, clock);
    Supervisor supervisor(io, timers, gateway, duties, path, changedAt);
    supervisor.start();
    observability::log(
        observability::LogLevel::Info, "gateway-started",
        {{"host", settings.host.value()},
         {"callers", settings.callersAddress},
         {"store", settings.storeAddress},
         {"reports-usage", settings.reportsUsage() ? "yes" : "no"},
         {"start-ms",
          std::chrono::duration_cast<std::chrono::milliseconds>(clock.now() - startedAt).count()}});
    io.run();
    return ExitOk;
}

} // namespace

int main(int argc, char **argv)
{
    maskSignals(SIG_BLOCK);
    CLI::App app("Serves callers by the operator's routes and the platform's endpoints.",
                 "monsoongrade-gateway");
    std::string path;
    bool checkOnly = false;
    app.add_option("--config", path, "YAML file with the settings")->required();
    app.add_flag("--check", checkOnly, "check the settings and exit");
    app.set_version_flag("--version", std::string(MONSOONGRADE_VERSION));
    if (const auto exitCode = daemon::parseArguments(app, argc, argv))
        return *exitCode;
    const timespec changedAt = changeTime(path);
    gateway::GatewaySettings settings;
    if (!readSettings(path, settings))
        return ExitBadSettings;
    if (checkOnly)
        return ExitOk;
    observability::startLogging(daemon::logLevelFor(settings.logLevel));
    std::signal(SIGPIPE, SIG_IGN);
    try {
        return run(settings, path, changedAt);
    } catch (const std::exception &error) {
        std::cerr << "monsoongrade-gateway: " << error.what() << "\n";
        return ExitFailed;
    }
}
