#include <monsoongrade/load/loadscript.h>

#include <monsoongrade/configuration/mappingreader.h>

namespace monsoongrade::load {

namespace {

using configuration::MappingReader;

constexpr std::int64_t Million = 1000000;

} // namespace

LoadClass readLoadClass(MappingReader &item)
{
    LoadClass result;
    result.name = item.requiredText("name");
    result.keys = item.texts("keys");
    result.method = item.text("method", result.method);
    result.body = item.text("body");
    result.path = item.text("path", result.path);
    result.model = item.text("model");
    result.headers = item.textPairs("headers");
    result.streamed = item.flag("stream", true);
    result.count = static_cast<std::size_t>(item.integer("count", 1, 1, Million));
    result.callers = static_cast<std::size_t>(item.integer("callers", 20, 1, Million));
    result.pattern
        = static_cast<ArrivalPattern>(item.choice("pattern", {"steady", "burst", "poisson"}, 0));
    result.start = item.duration("start", result.start);
    result.within = item.duration("within", result.within);
    result.leastTokens = item.integer("least-tokens", 16, 1, Million);
    result.mostTokens = item.integer("most-tokens", result.leastTokens, 1, Million);
    if (result.mostTokens < result.leastTokens)
        item.problem(units::ResultCode::OutOfRange, "most-tokens",
                     "must not be less than least-tokens");
    result.promptBytes = static_cast<std::size_t>(item.integer("prompt-bytes", 200, 1, Million));
    result.prefixes = static_cast<std::size_t>(item.integer("prefixes", 0, 0, Million));
    result.idempotencyKeys = item.flag("idempotency-keys", false);
    result.repeats = static_cast<std::size_t>(item.integer("repeats", 0, 0, 100));
    result.repeatsAfterError = static_cast<int>(item.integer("repeats-after-error", 0, 0, 100));
    result.readBytesPerSecond
        = static_cast<std::size_t>(item.integer("read-bytes-per-second", 0, 0, 1000 * Million));
    result.leaveAfterTokens = item.integer("leave-after-tokens", 0, 0, Million);
    result.comeBack = static_cast<int>(item.integer("come-back", 0, 0, 100));
    MappingReader target = item.mapping("target");
    result.firstTokenTarget = target.duration("first-token", result.firstTokenTarget);
    result.wholeAnswerTarget = target.duration("whole-answer", result.wholeAnswerTarget);
    target.finish();
    return result;
}

LoadScript parseLoadScript(const configuration::SourceFile &file, configuration::Problems &problems)
{
    LoadScript script;
    auto top = MappingReader::ofFile(file, problems);
    if (!top)
        return script;
    MappingReader &reader = *top;
    script.seed = static_cast<std::uint64_t>(reader.integer("seed", 1, 0, INT64_MAX));
    script.entry = reader.texts("entry");
    script.engines = reader.texts("engines");
    script.giveUpAfter = reader.duration("give-up-after", script.giveUpAfter);
    script.asksForEntryPoints = reader.flag("ask-entry-points", true);
    for (MappingReader &item : reader.mappings("classes")) {
        script.classes.push_back(readLoadClass(item));
        if (script.classes.back().keys.empty())
            item.problem(units::ResultCode::MissingSetting, "keys", "give at least one API key");
        item.finish();
    }
    reader.finish();
    if (script.classes.empty())
        problems.push_back(
            {units::ResultCode::MissingSetting, file.name, 0, "classes", "give at least one"});
    return script;
}

} // namespace monsoongrade::load
