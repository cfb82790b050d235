#include <monsoongrade/configuration/configurationstore.h>

#include <thread>

namespace monsoongrade::configuration {

namespace {

using platform::ObjectVersion;
using platform::StoredObject;
using units::ResultCode;

const char *const ManifestName = "config/manifest";
constexpr int MaxAttempts = 20;
constexpr int MaxContentAttempts = 4;
constexpr auto PauseStep = std::chrono::milliseconds(25);

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

std::string hashInForce(const Manifest &manifest, const std::string &file)
{
    const auto found = manifest.contentHashByFile.find(file);
    return found == manifest.contentHashByFile.end() ? std::string() : found->second;
}

boost::leaf::error_id failUnknown(const std::string &cause)
{
    return units::fail(ResultCode::OutcomeUnknown,
                       "the change may or may not have been accepted; look at the generation in "
                       "force and apply again, which is harmless ("
                           + cause + ")");
}

} // namespace

ConfigurationStore::ConfigurationStore(platform::ObjectStore &store, Pause pause)
    : store_(store)
    , pause_(std::move(pause))
{
    if (!pause_)
        pause_ = [](units::Duration time) {
            std::this_thread::sleep_for(time);
        };
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
    if (seenVersion_ == ObjectVersion()) {
        BOOST_LEAF_AUTO(now, manifest());
        if (now.generation > above)
            return now;
    }
    BOOST_LEAF_AUTO(object, store_.waitForChange(ManifestName, seenVersion_, wait));
    if (object.value.empty())
        return Manifest();
    BOOST_LEAF_AUTO(manifest, decodeManifest(object.value));
    // A stale answer must not make the next wait return at once, again and again.
    if (object.version > seenVersion_)
        seenVersion_ = object.version;
    return manifest;
}

units::Result<std::string> ConfigurationStore::content(const std::string &hash)
{
    BOOST_LEAF_AUTO(object, store_.get(contentName(hash)));
    if (contentHash(object.value) != hash)
        return units::fail(ResultCode::PlatformAnswerMalformed,
                           "the stored text does not match its name " + hash);
    return object.value;
}

units::Result<std::vector<SourceFile>> ConfigurationStore::files(const Manifest &manifest)
{
    std::vector<SourceFile> files;
    for (const auto &[name, hash] : manifest.contentHashByFile) {
        if (textByHash_.count(hash) == 0) {
            BOOST_LEAF_AUTO(text, content(hash));
            textByHash_[hash] = text;
        }
        files.push_back({name, textByHash_[hash]});
    }
    return files;
}

units::Result<ConfigurationStore::Applied>
ConfigurationStore::apply(const std::vector<SourceFile> &changed, const std::string &changeId)
{
    HashByFile change;
    for (const SourceFile &file : changed) {
        const std::string hash = contentHash(file.text);
        change[file.name] = hash;
        textByHash_[hash] = file.text;
    }
    BOOST_LEAF_CHECK(storeContents(changed));
    return commit(change, changeId);
}

units::Result<ConfigurationStore::Applied>
ConfigurationStore::remove(const std::vector<std::string> &names, const std::string &changeId)
{
    HashByFile change;
    for (const std::string &name : names)
        change[name] = {};
    return commit(change, changeId);
}

units::Result<ConfigurationStore::Applied> ConfigurationStore::commit(const HashByFile &change,
                                                                      const std::string &changeId)
{
    std::optional<Manifest> first;
    // Set once a write went out whose effect isn't known.
    bool written = false;
    std::string cause = "others kept changing the configuration";
    for (int attempt = 0; attempt < MaxAttempts; ++attempt) {
        const auto read = units::capture([&] { return manifest(); });
        if (!read.value) {
            if (!written)
                return units::fail(read.error.code, read.error.message);
            cause = read.error.message;
            pause_(PauseStep * attempt);
            continue;
        }
        Manifest next = *read.value;
        if (const auto accepted = next.acceptedAs(changeId))
            return Applied{*accepted, {}};
        if (!first)
            first = next;
        if (written && next.generation.value() >= first->generation.value() + MaxRecentChanges)
            return failUnknown("too many changes have followed to tell");
        for (const auto &[name, hash] : change) {
            const std::string now = hashInForce(next, name);
            // Two people at the same file: the later one would take back what the earlier was
            // told is accepted, without having seen it.
            if (now != hashInForce(*first, name) && now != hash && !written)
                return units::fail(ResultCode::VersionConflict,
                                   "somebody else changed " + name
                                       + " at the same moment; nothing of this change was "
                                         "accepted, look at theirs and apply again");
            if (now != hashInForce(*first, name) && now != hash)
                return failUnknown("somebody else changed " + name + " at the same moment");
            if (hash.empty())
                next.contentHashByFile.erase(name);
            else
                next.contentHashByFile[name] = hash;
        }
        const auto checked = units::capture([&] { return check(next); });
        if (!checked.value && written)
            return failUnknown(checked.error.message);
        if (!checked.value)
            return units::fail(checked.error.code, checked.error.message);
        if (!checked.value->empty() && written)
            return failUnknown(describe(checked.value->front()));
        if (!checked.value->empty())
            return Applied{next.generation, *checked.value};
        next.accept(changeId);
        const ObjectVersion version = seenVersion_;
        const auto write = units::capture([&] {
            return version == ObjectVersion()
                ? store_.createIfAbsent(ManifestName, encodeManifest(next))
                : store_.updateIfVersion(ManifestName, version, encodeManifest(next));
        });
        if (write.value)
            return Applied{next.generation, {}};
        // Somebody else's change came first, or the reply was lost: the next round reads back
        // and either finds its own change id or merges again over the other's change.
        cause = write.error.message;
        if (write.error.code != ResultCode::VersionConflict
            && write.error.code != ResultCode::ObjectAlreadyExists)
            written = true;
        pause_(PauseStep * attempt);
    }
    if (written)
        return failUnknown(cause);
    return units::fail(ResultCode::VersionConflict,
                       "others kept changing the configuration; nothing was changed, try again");
}

units::Result<Problems> ConfigurationStore::check(const Manifest &merged)
{
    BOOST_LEAF_AUTO(texts, files(merged));
    return parseConfiguration(texts).problems;
}

units::Result<void> ConfigurationStore::storeContents(const std::vector<SourceFile> &files)
{
    for (const SourceFile &file : files) {
        const std::string name = contentName(contentHash(file.text));
        // Writing the same text twice is harmless, so a lost reply is simply tried again.
        for (int attempt = 1;; ++attempt) {
            const auto write
                = units::capture([&] { return store_.createIfAbsent(name, file.text); });
            if (write.value || write.error.code == ResultCode::ObjectAlreadyExists)
                break;
            if (attempt == MaxContentAttempts)
                return units::fail(write.error.code, write.error.message + "; nothing was changed");
            pause_(PauseStep * attempt);
        }
    }
    return {};
}

} // namespace monsoongrade::configuration
