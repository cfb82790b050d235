#include <monsoongrade/configuration/configurationstore.h>

#include <map>

namespace monsoongrade::configuration {

namespace {

using platform::ObjectVersion;
using platform::StoredObject;
using units::ResultCode;

const char *const ManifestName = "config/manifest";
constexpr int MostAttempts = 20;

std::string contentName(const std::string &hash)
{
    return "config/content/" + hash;
}

// Makes the call; where it fails with the given code, gives the value instead. Every other error
// is passed on.
template <typename Call, typename T>
units::Result<T> unless(ResultCode code, Call call, T instead)
{
    const units::Outcome<T> outcome = units::capture(call);
    if (outcome.value)
        return *outcome.value;
    if (outcome.error.code == code)
        return instead;
    return units::fail(outcome.error.code, outcome.error.message);
}

} // namespace

ConfigurationStore::ConfigurationStore(platform::ObjectStore &store)
    : store_(store)
{
}

units::Result<Manifest> ConfigurationStore::manifest()
{
    BOOST_LEAF_AUTO(
        object,
        unless(
            ResultCode::ObjectNotFound, [&] { return store_.get(ManifestName); }, StoredObject()));
    seenVersion_ = object.version;
    if (object.value.empty())
        return Manifest();
    return decodeManifest(object.value);
}

units::Result<Manifest> ConfigurationStore::waitForChange(units::Generation above,
                                                          units::Duration wait)
{
    BOOST_LEAF_AUTO(now, manifest());
    if (now.generation > above)
        return now;
    BOOST_LEAF_AUTO(object, store_.waitForChange(ManifestName, seenVersion_, wait));
    if (object.value.empty())
        return now;
    return decodeManifest(object.value);
}

units::Result<std::vector<SourceFile>> ConfigurationStore::files(const Manifest &manifest)
{
    std::vector<SourceFile> files;
    for (const auto &[name, hash] : manifest.contentHashByFile) {
        BOOST_LEAF_AUTO(object, store_.get(contentName(hash)));
        files.push_back({name, object.value});
    }
    return files;
}

units::Result<ConfigurationStore::Applied>
ConfigurationStore::apply(const std::vector<SourceFile> &changed, const std::string &changeId)
{
    BOOST_LEAF_CHECK(storeContents(changed));
    for (int attempt = 0; attempt < MostAttempts; ++attempt) {
        BOOST_LEAF_AUTO(current, manifest());
        if (current.changeId == changeId)
            return Applied{current.generation, {}};
        const ObjectVersion version = seenVersion_;
        for (const SourceFile &file : changed)
            current.contentHashByFile[file.name] = contentHash(file.text);
        BOOST_LEAF_AUTO(merged, files(current));
        const ParsedConfiguration parsed = parseConfiguration(merged);
        if (!parsed.isValid())
            return Applied{current.generation, parsed.problems};
        current.generation += units::Generation(1);
        current.changeId = changeId;
        const std::string text = encodeManifest(current);
        auto written = version == ObjectVersion()
            ? store_.createIfAbsent(ManifestName, text)
            : store_.updateIfVersion(ManifestName, version, text);
        if (written)
            return Applied{current.generation, {}};
        // Somebody else's change came first, or the reply was lost: the next round reads back
        // and either finds its own change id or merges again over the other's change.
    }
    return units::fail(ResultCode::VersionConflict,
                       "others kept changing the configuration; nothing was changed, try again");
}

units::Result<void> ConfigurationStore::storeContents(const std::vector<SourceFile> &files)
{
    for (const SourceFile &file : files) {
        const std::string name = contentName(contentHash(file.text));
        BOOST_LEAF_CHECK(unless(
            ResultCode::ObjectAlreadyExists, [&] { return store_.createIfAbsent(name, file.text); },
            ObjectVersion()));
    }
    return {};
}

} // namespace monsoongrade::configuration
