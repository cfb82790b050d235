#include <monsoongrade/configuration/configurationwatcher.h>

#include <monsoongrade/configuration/storereadperiod.h>
#include <monsoongrade/observability/log.h>

#include <utility>

namespace monsoongrade::configuration {

namespace {

using observability::LogLevel;

constexpr auto NewsCheck = std::chrono::milliseconds(50);
constexpr auto PauseAfterError = std::chrono::milliseconds(500);

} // namespace

ConfigurationWatcher::ConfigurationWatcher(platform::ObjectStore &store, ConfigurationPeers &peers,
                                           ConfigurationContents &contents,
                                           ConfigurationHolder &holder)
    : peers_(peers)
    , updater_(store, peers, contents, holder)
    , random_(std::random_device{}())
    , thread_([this] { run(); })
{
}

ConfigurationWatcher::~ConfigurationWatcher()
{
    stopping_ = true;
    thread_.join();
}

void ConfigurationWatcher::run()
{
    while (!stopping_)
        watchOnce();
}

void ConfigurationWatcher::watchOnce()
{
    if (peers_.hasNewer()) {
        const units::Generation before = updater_.known();
        attempt("peer", &ConfigurationUpdater::askPeer);
        if (updater_.known() > before)
            return;
        // The peer failed, or has what was rejected here: without a pause it would be asked
        // without end.
        pause(PauseAfterError);
    }
    const auto now = std::chrono::steady_clock::now();
    if (updater_.known() == units::Generation()) {
        // Just started: the store if it answers, else whoever is there.
        attempt("store", &ConfigurationUpdater::readStore);
        if (updater_.known() == units::Generation())
            attempt("peer", &ConfigurationUpdater::askPeer);
        if (updater_.known() == units::Generation())
            pause(PauseAfterError);
        return;
    }
    if (peers_.isWatcher()) {
        if (!attempt("store", &ConfigurationUpdater::watchStore))
            pause(PauseAfterError);
        return;
    }
    if (now < nextStoreRead_) {
        pause(NewsCheck);
        return;
    }
    const units::Duration period = storeReadPeriod(updater_.files());
    // Spread, so that a fleet that started together doesn't read together.
    std::uniform_int_distribution<std::int64_t> spread(period.count() * 2 / 3,
                                                       period.count() * 4 / 3);
    nextStoreRead_ = now + units::Duration(spread(random_));
    attempt("store", &ConfigurationUpdater::readStore);
}

// Whether the source answered.
bool ConfigurationWatcher::attempt(const char *source,
                                   units::Result<bool> (ConfigurationUpdater::*update)())
{
    const units::Generation before = updater_.known();
    const auto answered = units::capture([&] { return (updater_.*update)(); });
    if (answered.value && *answered.value)
        observability::log(LogLevel::Info, "configuration-in-force",
                           {{"generation", updater_.known().value()},
                            {"before", before.value()},
                            {"source", source}});
    // One line at the start and one at the end of a fault, not one for each attempt.
    const bool wasFailing = std::exchange(failing_[source], !answered.value);
    if (answered.value && wasFailing)
        observability::log(LogLevel::Info, "configuration-read-again", {{"source", source}});
    if (answered.value)
        return true;
    if (!wasFailing)
        observability::log(LogLevel::Warning, "configuration-read-failed",
                           {{"source", source},
                            {"code", static_cast<int>(answered.error.code)},
                            {"message", answered.error.message}});
    return false;
}

void ConfigurationWatcher::pause(units::Duration time)
{
    for (auto left = time; left > units::Duration() && !stopping_; left -= NewsCheck)
        std::this_thread::sleep_for(NewsCheck);
}

} // namespace monsoongrade::configuration
