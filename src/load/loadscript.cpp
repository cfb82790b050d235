#include <monsoongrade/load/loadscript.h>

#include <monsoongrade/configuration/mappingreader.h>

namespace monsoongrade::load {

namespace {

using configuration::MappingReader;

constexpr std::int64_t Million = 1000000;

LoadClass readClass(MappingReader &item)
{
    LoadClass result;
    result.name = item.requiredText("name");
    result.keys = item.texts("keys");
    if (result.keys.empty())
        item.problem(units::ResultCode::MissingSetting, "keys", "give at least one API key");
    result.path = item.text("path", result.path);
    result.model = item.text("model");
    result.headers = item.textPairs("headers");
    result.streamed = item.flag("stream", true);
    result.count = static_cast<std::size_t>(item.integer("count", 1, 1, Million));
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
    result.comeBack = static_cast<int>(item.integer("come-back", 0, 0, 100));
    MappingReader target = item.mapping("target");
    result.firstTokenTarget = target.duration("first-token", result.firstTokenTarget);
    result.wholeAnswerTarget = target.duration("whole-answer", result.wholeAnswerTarget);
    target.finish();
    item.finish();
    return result;
}

} // namespace

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
    for (MappingReader &item : reader.mappings("classes"))
        script.classes.push_back(readClass(item));
    reader.finish();
    if (script.classes.empty())
        problems.push_back(
            {units::ResultCode::MissingSetting, file.name, 0, "classes", "give at least one"});
    return script;
}

} // namespace monsoongrade::load
