#include <monsoongrade/configuration/configurationparser.h>

#include <monsoongrade/configuration/mappingreader.h>

#include <algorithm>
#include <set>

namespace monsoongrade::configuration {

namespace {

using units::ResultCode;

constexpr int MaxTiers = 16;
constexpr double MaxWeight = 1e6;
constexpr int MaxSlots = 100000;

// Gathers one file after the other into the configuration, and remembers where each name was
// given, so that a second one and a dangling reference can be shown with their places.
class Merger
{
public:
    explicit Merger(ParsedConfiguration &parsed)
        : parsed_(parsed)
        , configuration_(parsed.configuration)
    {
    }

    void merge(const SourceFile &file)
    {
        auto top = MappingReader::ofFile(file, parsed_.problems);
        if (!top)
            return;
        MappingReader &reader = *top;
        // An emptied file would take all that it gave out of force without a word.
        if (reader.isEmpty())
            reader.problem(ResultCode::MissingSetting, {},
                           "the file gives nothing; monsoongradectl remove takes one out of force");
        readScheduling(reader);
        for (MappingReader &item : reader.mappings("classes"))
            readClass(item);
        for (MappingReader &item : reader.mappings("workspaces"))
            readWorkspace(item);
        for (MappingReader &item : reader.mappings("pools"))
            readPool(item);
        for (MappingReader &item : reader.mappings("rules"))
            readRule(item);
        for (const std::string &name : reader.texts("drained"))
            configuration_.drained.insert(name);
        reader.finish();
    }

    void checkReferences()
    {
        for (const Reference &reference : references_) {
            if (names_.count({reference.kind, reference.name}) == 0)
                parsed_.problems.push_back(
                    {ResultCode::DanglingReference, reference.file, reference.line, reference.key,
                     "no file gives a " + reference.kind + " named \"" + reference.name + "\""});
        }
    }

private:
    struct Reference
    {
        std::string kind;
        std::string name;
        std::string file;
        int line = 0;
        std::string key;
    };

    void readScheduling(MappingReader &reader)
    {
        if (!reader.has("scheduling")) {
            reader.mapping("scheduling");
            return;
        }
        if (!declare(reader, "setting", "scheduling"))
            return;
        MappingReader item = reader.mapping("scheduling");
        configuration_.queueLimit
            = static_cast<std::size_t>(item.integer("queue-limit", 10000, 1, 1000000));
        configuration_.guaranteedShare = item.number("guaranteed-share", 0.05, 0.001, 0.5);
        item.finish();
    }

    void readClass(MappingReader &item)
    {
        ClassConfig config;
        config.policy.name = units::ClassName(item.requiredText("name"));
        config.policy.tier
            = units::Tier(static_cast<std::uint32_t>(item.integer("tier", 0, 0, MaxTiers - 1)));
        config.policy.weight = item.number("weight", 1, 1e-3, MaxWeight);
        MappingReader target = item.mapping("target");
        config.policy.firstTokenTarget
            = target.positiveDuration("first-token", config.policy.firstTokenTarget);
        config.policy.wholeAnswerTarget
            = target.positiveDuration("whole-answer", config.policy.wholeAnswerTarget);
        target.finish();
        config.policy.maxWait = item.duration("max-wait", config.policy.maxWait);
        config.policy.late = item.choice("late", {"serve", "drop"}, 0) == 0
            ? scheduling::LatePolicy::Serve
            : scheduling::LatePolicy::Drop;
        config.cancelOnDisconnect = item.choice("on-disconnect", {"cancel", "finish"}, 0) == 0;
        item.finish();
        if (declare(item, "class", config.policy.name.value()))
            configuration_.classes.emplace(config.policy.name, config);
    }

    void readWorkspace(MappingReader &item)
    {
        WorkspaceConfig config;
        config.name = units::WorkspaceName(item.requiredText("name"));
        config.weight = item.number("weight", 1, 1e-3, MaxWeight);
        config.keys = item.texts("keys");
        config.defaultClass = units::ClassName(item.givenText("default-class"));
        config.openLimit = static_cast<std::size_t>(item.integer("open-limit", 0, 0, 1000000));
        item.finish();
        refer(item, "class", "default-class", config.defaultClass.value());
        for (const std::string &key : config.keys)
            addKey(item, key, config.name);
        if (declare(item, "workspace", config.name.value()))
            configuration_.workspaces.emplace(config.name, config);
    }

    void addKey(MappingReader &item, const std::string &key, const units::WorkspaceName &workspace)
    {
        if (key.empty())
            item.problem(ResultCode::OutOfRange, "keys", "a key must not be empty");
        else if (declare(item, "key", key))
            configuration_.keys.add(key, workspace);
    }

    void readPool(MappingReader &item)
    {
        PoolConfig config;
        config.name = units::PoolName(item.requiredText("name"));
        config.kind = item.choice("kind", {"engine", "service"}, 0) == 0 ? PoolKind::Engine
                                                                         : PoolKind::Service;
        for (const std::string &model : item.texts("models"))
            config.models.emplace_back(model);
        config.honoursPriority = item.flag("honours-priority", false);
        config.canResume = item.flag("can-resume", false);
        config.checksFencing = item.flag("checks-fencing", false);
        config.silenceTimeout = item.positiveDuration("silence-timeout", config.silenceTimeout);
        for (MappingReader &endpoint : item.mappings("endpoints"))
            readEndpoint(endpoint, config);
        item.finish();
        if (declare(item, "pool", config.name.value()))
            configuration_.pools.emplace(config.name, config);
    }

    void readEndpoint(MappingReader &item, PoolConfig &pool)
    {
        EndpointConfig config;
        config.id = units::EndpointId(item.requiredText("name"));
        config.host = units::HostName(item.text("host", config.id.value()));
        config.address = item.requiredAddress("address");
        config.port = static_cast<std::uint16_t>(item.integer("port", 8000, 1, 65535));
        config.slots = static_cast<int>(item.integer("slots", 1, 1, MaxSlots));
        item.finish();
        if (declare(item, "endpoint", config.id.value()))
            pool.endpoints.push_back(config);
    }

    static void readMatch(MappingReader &match, RuleConfig &config)
    {
        config.pathPrefix = match.givenText("path");
        config.method = match.givenText("method");
        config.model = units::ModelName(match.givenText("model"));
        config.workspace = units::WorkspaceName(match.givenText("workspace"));
        config.headerName = match.givenText("header");
        config.headerValue = match.givenText("value");
        match.finish();
        // Either alone would match requests that nobody meant.
        if (match.has("header") != match.has("value"))
            match.problem(ResultCode::MissingSetting, match.has("header") ? "value" : "header",
                          "header and value must be given together");
    }

    void readRule(MappingReader &item)
    {
        RuleConfig config;
        MappingReader match = item.mapping("match");
        readMatch(match, config);
        config.className = units::ClassName(item.givenText("class"));
        config.pool = units::PoolName(item.givenText("pool"));
        const bool mayRepeat = item.choice("run", {"idempotent", "at-most-once"}, 0) == 0;
        if (item.has("run"))
            config.run = mayRepeat ? RunRule::Idempotent : RunRule::AtMostOnce;
        item.finish();
        refer(match, "workspace", "workspace", config.workspace.value());
        refer(item, "class", "class", config.className.value());
        refer(item, "pool", "pool", config.pool.value());
        configuration_.rules.push_back(config);
    }

    bool declare(MappingReader &item, const std::string &kind, const std::string &name)
    {
        const std::string place = item.file() + ":" + std::to_string(item.line());
        const auto [entry, isNew] = names_.emplace(std::pair(kind, name), place);
        // A key is a secret and never shown.
        if (!isNew)
            item.problem(ResultCode::DuplicateName, kind == "key" ? "keys" : "name",
                         kind + (kind == "key" ? "" : " \"" + name + "\"") + " is already given at "
                             + entry->second);
        return isNew;
    }

    void refer(const MappingReader &item, const std::string &kind, const std::string &key,
               const std::string &name)
    {
        if (!name.empty())
            references_.push_back({kind, name, item.file(), item.line(), key});
    }

    ParsedConfiguration &parsed_;
    Configuration &configuration_;
    std::map<std::pair<std::string, std::string>, std::string> names_;
    std::vector<Reference> references_;
};

} // namespace

ParsedConfiguration parseConfiguration(std::vector<SourceFile> files)
{
    std::sort(files.begin(), files.end(),
              [](const SourceFile &a, const SourceFile &b) { return a.name < b.name; });
    ParsedConfiguration parsed;
    Merger merger(parsed);
    for (const SourceFile &file : files)
        merger.merge(file);
    merger.checkReferences();
    return parsed;
}

} // namespace monsoongrade::configuration
