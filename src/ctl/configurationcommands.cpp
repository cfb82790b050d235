#include <monsoongrade/ctl/commands.h>

#include <ctl/internal/session.h>

#include <monsoongrade/configuration/folder.h>
#include <monsoongrade/ctl/linediff.h>
#include <monsoongrade/ctl/printer.h>

#include <yaml-cpp/yaml.h>

#include <algorithm>

namespace monsoongrade::ctl {

namespace {

using configuration::SourceFile;
using nlohmann::json;

// Keeps the hosts and endpoints that drain took out of service.
const char *const DrainedFile = "zz-drained.yaml";

json problemJson(const configuration::Problem &problem)
{
    return {{"code", static_cast<int>(problem.code)},
            {"file", problem.file},
            {"line", problem.line},
            {"key", problem.key},
            {"message", problem.message}};
}

std::string diffText(const json &differences)
{
    std::string out;
    for (const json &file : differences["files"]) {
        out += file["state"].get<std::string>() + " " + file["file"].get<std::string>();
        if (file["state"] == "new") {
            out += " (" + std::to_string(file["lines"].size()) + " lines)\n";
            continue;
        }
        out += "\n";
        for (const json &line : file["lines"])
            out += "  " + line.get<std::string>() + "\n";
    }
    return out.empty() ? "no difference\n" : out;
}

json differencesOf(const std::vector<SourceFile> &files, const std::vector<SourceFile> &inForce)
{
    json out{{"files", json::array()}};
    for (const SourceFile &file : files) {
        const auto old = std::find_if(inForce.begin(), inForce.end(),
                                      [&](const SourceFile &f) { return f.name == file.name; });
        const bool isNew = old == inForce.end();
        const auto lines = lineDiff(isNew ? std::string() : old->text, file.text);
        if (!lines.empty())
            out["files"].push_back(
                {{"file", file.name}, {"state", isNew ? "new" : "changed"}, {"lines", lines}});
    }
    return out;
}

std::vector<std::string> drainedNames(const std::vector<SourceFile> &files)
{
    std::vector<std::string> names;
    for (const SourceFile &file : files) {
        if (file.name != DrainedFile)
            continue;
        for (const YAML::Node &name : YAML::Load(file.text)["drained"])
            names.push_back(name.as<std::string>());
    }
    return names;
}

units::Result<int> waitForAccepted(internal::Session &session, units::Generation generation,
                                   int waitSeconds, const Options &options)
{
    if (options.output == OutputFormat::Text)
        std::cout << "generation " << generation << " was accepted before\n" << std::flush;
    return internal::waitAndReport(session, generation, waitSeconds, options);
}

// The files of the platform that is named, under those to be checked.
units::Result<std::vector<SourceFile>> withThoseInForce(std::vector<SourceFile> files,
                                                        const Options &options)
{
    if (options.platform.empty())
        return files;
    internal::Session session(options);
    BOOST_LEAF_AUTO(manifest, session.store.manifest());
    BOOST_LEAF_AUTO(inForce, session.store.files(manifest));
    for (SourceFile &file : inForce) {
        if (std::none_of(files.begin(), files.end(),
                         [&](const SourceFile &own) { return own.name == file.name; }))
            files.push_back(std::move(file));
    }
    return files;
}

// A mistyped name would look drained, and the host go on taking work.
bool isNamed(const std::string &name, const std::vector<platform::Host> &hosts,
             const std::vector<SourceFile> &inForce)
{
    if (std::any_of(hosts.begin(), hosts.end(),
                    [&](const auto &host) { return host.name.value() == name; }))
        return true;
    const auto parsed = configuration::parseConfiguration(inForce);
    for (const auto &[poolName, pool] : parsed.configuration.pools) {
        for (const auto &endpoint : pool.endpoints) {
            if (endpoint.id.value() == name || endpoint.host.value() == name)
                return true;
        }
    }
    return false;
}

SourceFile drainedFile(const std::vector<std::string> &names)
{
    std::string text = "# Written by monsoongradectl drain.\ndrained:";
    for (const std::string &name : names)
        text += "\n  - " + json(name).dump();
    return {DrainedFile, text + (names.empty() ? " []\n" : "\n")};
}

} // namespace

int checkCommand(const std::string &path, const Options &options)
{
    return internal::runReportingErrors([&]() -> units::Result<int> {
        BOOST_LEAF_AUTO(written, internal::readWrittenFiles(path));
        configuration::Problems problems = std::move(written.problems);
        BOOST_LEAF_AUTO(whole, withThoseInForce(written.files, options));
        const auto parsed = configuration::parseConfiguration(std::move(whole));
        problems.insert(problems.end(), parsed.problems.begin(), parsed.problems.end());
        json out{{"files", written.files.size()}, {"problems", json::array()}};
        for (const auto &problem : problems)
            out["problems"].push_back(problemJson(problem));
        if (options.output == OutputFormat::Text)
            internal::printProblems(problems);
        print(std::cout, options.output, out, [&](const json &) {
            return problems.empty() ? std::to_string(written.files.size()) + " files are valid\n"
                                    : std::string();
        });
        return problems.empty() ? ExitOk : ExitBadInput;
    });
}

int diffCommand(const std::string &path, const Options &options)
{
    internal::Session session(options);
    return internal::runReportingErrors([&]() -> units::Result<int> {
        BOOST_LEAF_AUTO(written, internal::readWrittenFiles(path));
        BOOST_LEAF_AUTO(manifest, session.store.manifest());
        BOOST_LEAF_AUTO(inForce, session.store.files(manifest));
        print(std::cout, options.output, differencesOf(written.files, inForce), diffText);
        return ExitOk;
    });
}

int applyCommand(const std::string &path, int waitSeconds, const Options &options)
{
    internal::Session session(options);
    return internal::runReportingErrors([&]() -> units::Result<int> {
        BOOST_LEAF_AUTO(written, internal::readWrittenFiles(path));
        if (!written.problems.empty())
            return internal::reportAndWait(session, {{}, written.problems}, waitSeconds, options);
        BOOST_LEAF_AUTO(manifest, session.store.manifest());
        BOOST_LEAF_AUTO(inForce, session.store.files(manifest));
        const json differences = differencesOf(written.files, inForce);
        if (options.output == OutputFormat::Text)
            std::cout << diffText(differences);
        // Whoever applies again wants to know whether all have it by now.
        if (differences["files"].empty())
            return waitForAccepted(session, manifest.generation, waitSeconds, options);
        BOOST_LEAF_AUTO(applied, session.store.apply(written.files, internal::newChangeId()));
        return internal::reportAndWait(session, applied, waitSeconds, options);
    });
}

int removeCommand(const std::string &file, int waitSeconds, const Options &options)
{
    internal::Session session(options);
    return internal::runReportingErrors([&]() -> units::Result<int> {
        BOOST_LEAF_AUTO(manifest, session.store.manifest());
        if (manifest.contentHashByFile.count(file) == 0) {
            return internal::refuseName("no file named \"" + file
                                        + "\" is in force; nothing was changed");
        }
        BOOST_LEAF_AUTO(applied, session.store.remove({file}, internal::newChangeId()));
        return internal::reportAndWait(session, applied, waitSeconds, options);
    });
}

int drainCommand(const std::string &name, bool undo, int waitSeconds, const Options &options)
{
    internal::Session session(options);
    return internal::runReportingErrors([&]() -> units::Result<int> {
        BOOST_LEAF_AUTO(manifest, session.store.manifest());
        BOOST_LEAF_AUTO(inForce, session.store.files(manifest));
        std::vector<std::string> names = drainedNames(inForce);
        const auto found = std::find(names.begin(), names.end(), name);
        if ((found != names.end()) != undo) {
            if (options.output == OutputFormat::Text)
                std::cout << name << (undo ? " is in service already\n" : " is drained already\n");
            return waitForAccepted(session, manifest.generation, waitSeconds, options);
        }
        if (undo) {
            names.erase(found);
        } else {
            BOOST_LEAF_AUTO(hosts, session.fleet.hosts());
            if (!isNamed(name, hosts, inForce))
                return internal::refuseName("no host and no endpoint is named \"" + name
                                            + "\"; nothing was changed");
            names.push_back(name);
        }
        BOOST_LEAF_AUTO(applied,
                        session.store.apply({drainedFile(names)}, internal::newChangeId()));
        return internal::reportAndWait(session, applied, waitSeconds, options);
    });
}

} // namespace monsoongrade::ctl
