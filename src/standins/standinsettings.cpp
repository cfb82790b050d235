#include <monsoongrade/standins/standinsettings.h>

#include <monsoongrade/configuration/mappingreader.h>

namespace monsoongrade::standins {

namespace {

using configuration::MappingReader;

constexpr std::int64_t MaxPort = 65535;
constexpr std::int64_t MaxThreads = 64;
constexpr std::int64_t MaxSlots = 100000;
constexpr double MaxTokensPerSecond = 1e6;
constexpr double MaxBatchCost = 100;
constexpr double MaxPrefillMicros = 1e6;

void readListener(MappingReader &reader, http::HttpServerSettings &listener)
{
    listener.address = reader.text("address", listener.address);
    listener.port = static_cast<std::uint16_t>(reader.integer("port", listener.port, 1, MaxPort));
    listener.threads = static_cast<std::size_t>(
        reader.integer("threads", static_cast<std::int64_t>(listener.threads), 1, MaxThreads));
}

void readEngine(MappingReader &reader, FakeEngineSettings &engine)
{
    engine.slots = static_cast<int>(reader.integer("slots", engine.slots, 1, MaxSlots));
    engine.tokensPerSecond
        = reader.number("tokens-per-second", engine.tokensPerSecond, 0.001, MaxTokensPerSecond);
    engine.batchCost = reader.number("batch-cost", engine.batchCost, 0, MaxBatchCost);
    engine.prefillMicrosPerByte
        = reader.number("prefill-micros", engine.prefillMicrosPerByte, 0, MaxPrefillMicros);
    engine.canResume = reader.flag("can-resume", engine.canResume);
    engine.journalPath = reader.text("journal", engine.journalPath);
}

} // namespace

void parseFakeEngineSettings(const configuration::SourceFile &file, FakeEngineProgram &settings,
                             configuration::Problems &problems)
{
    auto reader = MappingReader::ofFile(file, problems);
    if (!reader)
        return;
    readListener(*reader, settings.listener);
    readEngine(*reader, settings.engine);
    settings.exitOnCrash = reader->flag("exit-on-crash", settings.exitOnCrash);
    reader->finish();
}

void parseFakePlatformSettings(const configuration::SourceFile &file,
                               http::HttpServerSettings &settings,
                               configuration::Problems &problems)
{
    auto reader = MappingReader::ofFile(file, problems);
    if (!reader)
        return;
    readListener(*reader, settings);
    reader->finish();
}

} // namespace monsoongrade::standins
