#include <monsoongrade/standins/standinsettings.h>

#include <monsoongrade/configuration/mappingreader.h>

namespace monsoongrade::standins {

namespace {

using configuration::MappingReader;

constexpr std::int64_t MostPort = 65535;
constexpr std::int64_t MostThreads = 64;
constexpr std::int64_t MaxSlots = 100000;
constexpr double MostTokensPerSecond = 1e6;
constexpr double MostBatchCost = 100;
constexpr double MostPrefillMicros = 1e6;

void readListener(MappingReader &reader, http::HttpServerSettings &listener)
{
    listener.address = reader.text("address", listener.address);
    listener.port = static_cast<std::uint16_t>(reader.integer("port", listener.port, 1, MostPort));
    listener.threads = static_cast<std::size_t>(
        reader.integer("threads", static_cast<std::int64_t>(listener.threads), 1, MostThreads));
}

void readEngine(MappingReader &reader, FakeEngineSettings &engine)
{
    engine.slots = static_cast<int>(reader.integer("slots", engine.slots, 1, MaxSlots));
    engine.tokensPerSecond
        = reader.number("tokens-per-second", engine.tokensPerSecond, 0.001, MostTokensPerSecond);
    engine.batchCost = reader.number("batch-cost", engine.batchCost, 0, MostBatchCost);
    engine.prefillMicrosPerByte
        = reader.number("prefill-micros", engine.prefillMicrosPerByte, 0, MostPrefillMicros);
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
