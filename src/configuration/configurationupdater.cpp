#include <monsoongrade/configuration/configurationupdater.h>

#include <monsoongrade/observability/log.h>

#include <algorithm>

namespace monsoongrade::configuration {

using observability::LogLevel;
using units::ResultCode;

namespace {

// Short, since a daemon that stops waits for it to end.
constexpr auto WatchTime = std::chrono::seconds(1);

} // namespace

ConfigurationUpdater::ConfigurationUpdater(platform::ObjectStore &store, ConfigurationPeers &peers,
                                           ConfigurationContents &contents,
                                           ConfigurationHolder &holder)
    : store_(store)
    , peers_(peers)
    , contents_(contents)
    , holder_(holder)
{
}

std::size_t ConfigurationUpdater::files() const
{
    return contents_.current()->manifest.contentHashByFile.size();
}

units::Generation ConfigurationUpdater::known() const
{
    return std::max(contents_.current()->manifest.generation, rejected_);
}

units::Result<bool> ConfigurationUpdater::watchStore()
{
    BOOST_LEAF_AUTO(manifest, store_.waitForChange(known(), WatchTime));
    return fromStore(manifest);
}

units::Result<bool> ConfigurationUpdater::readStore()
{
    BOOST_LEAF_AUTO(manifest, store_.manifest());
    return fromStore(manifest);
}

units::Result<bool> ConfigurationUpdater::fromStore(const Manifest &manifest)
{
    if (manifest.generation <= known())
        return false;
    ManifestContents next{manifest, {}};
    const auto current = contents_.current();
    for (const auto &[name, hash] : manifest.contentHashByFile) {
        if (current->texts.count(hash) > 0)
            continue;
        BOOST_LEAF_AUTO(text, store_.content(hash));
        next.texts[hash] = text;
    }
    return put(std::move(next));
}

units::Result<bool> ConfigurationUpdater::askPeer()
{
    BOOST_LEAF_AUTO(next, peers_.fetch(known(), contents_.current()->texts));
    if (next.manifest.generation <= known())
        return false;
    return put(std::move(next));
}

units::Result<bool> ConfigurationUpdater::put(ManifestContents next)
{
    const auto current = contents_.current();
    std::vector<SourceFile> files;
    TextByHash texts;
    for (const auto &[name, hash] : next.manifest.contentHashByFile) {
        const auto fetched = next.texts.find(hash);
        const auto kept = current->texts.find(hash);
        if (fetched == next.texts.end() && kept == current->texts.end())
            return units::fail(ResultCode::PeerMessageMalformed,
                               "the text of file " + name + " is missing");
        const std::string &text = fetched == next.texts.end() ? kept->second : fetched->second;
        if (contentHash(text) != hash)
            return units::fail(ResultCode::PlatformAnswerMalformed,
                               "the text of file " + name + " does not match its hash");
        files.push_back({name, text});
        texts[hash] = text;
    }
    ParsedConfiguration parsed = parseConfiguration(std::move(files));
    if (!parsed.isValid())
        return reject(next.manifest, describe(parsed.problems.front()));
    parsed.configuration.generation = next.manifest.generation;
    next.texts = std::move(texts);
    const units::Generation generation = next.manifest.generation;
    contents_.put(std::move(next));
    holder_.offer(std::make_shared<const Configuration>(std::move(parsed.configuration)));
    peers_.inForce(generation);
    return true;
}

// A manifest that was written around the check, or by a newer version: what is in force serves
// on, and the next generation is tried as usual.
units::Result<bool> ConfigurationUpdater::reject(const Manifest &manifest,
                                                 const std::string &reason)
{
    rejected_ = manifest.generation;
    observability::log(LogLevel::Error, "configuration-rejected",
                       {{"generation", manifest.generation.value()}, {"message", reason}});
    return false;
}

} // namespace monsoongrade::configuration
