#include <monsoongrade/configuration/keyindex.h>

#include <monsoongrade/units/secrets.h>

#include <functional>

namespace monsoongrade::configuration {

void KeyIndex::add(const std::string &key, const units::WorkspaceName &workspace)
{
    entries_.emplace(std::hash<std::string>()(key), Entry{key, workspace});
}

const units::WorkspaceName *KeyIndex::find(const std::string &key) const
{
    const auto [first, last] = entries_.equal_range(std::hash<std::string>()(key));
    for (auto entry = first; entry != last; ++entry) {
        if (units::equalInConstantTime(entry->second.key, key))
            return &entry->second.workspace;
    }
    return nullptr;
}

} // namespace monsoongrade::configuration
