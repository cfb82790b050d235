#include <monsoongrade/configuration/configurationwatcher.h>

#include <monsoongrade/configuration/configurationstore.h>
#include <monsoongrade/observability/log.h>

namespace monsoongrade::configuration {

namespace {

using observability::LogLevel;

constexpr auto WatchTime = std::chrono::seconds(1);
constexpr auto PauseAfterError = std::chrono::milliseconds(500);

} // namespace

ConfigurationWatcher::ConfigurationWatcher(platform::ObjectStore &store,
                                           ConfigurationHolder &holder)
    : store_(store)
    , holder_(holder)
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
    ConfigurationStore store(store_);
    const auto snapshot = holder_.current();
    const units::Generation known = snapshot ? snapshot->generation : units::Generation();
    units::orElse(
        [&]() -> units::Result<void> {
            BOOST_LEAF_AUTO(manifest, store.waitForChange(known, WatchTime));
            if (manifest.generation <= known)
                return {};
            BOOST_LEAF_AUTO(files, store.files(manifest));
            ParsedConfiguration parsed = parseConfiguration(std::move(files));
            parsed.configuration.generation = manifest.generation;
            holder_.offer(std::make_shared<const Configuration>(std::move(parsed.configuration)));
            observability::log(LogLevel::Info, "configuration-in-force",
                               {{"generation", manifest.generation.value()}});
            return {};
        },
        [&](const units::Error &error) {
            if (error.code != units::ResultCode::ObjectNotFound)
                observability::log(
                    LogLevel::Warning, "configuration-watch-failed",
                    {{"code", static_cast<int>(error.code)}, {"message", error.message}});
            std::this_thread::sleep_for(PauseAfterError);
        });
}

} // namespace monsoongrade::configuration
