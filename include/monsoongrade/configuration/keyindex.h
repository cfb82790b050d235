#ifndef MONSOONGRADE_CONFIGURATION_KEYINDEX_H
#define MONSOONGRADE_CONFIGURATION_KEYINDEX_H

#include <monsoongrade/units/ids.h>

#include <string>
#include <unordered_map>

namespace monsoongrade::configuration {

// Finds the workspace of an API key. Candidates are found by hash and then compared in constant
// time, so that neither the time to look up grows with the workspaces nor tells how much of a
// guessed key is right.
class KeyIndex
{
public:
    void add(const std::string &key, const units::WorkspaceName &workspace);
    // Null where no workspace has the key.
    const units::WorkspaceName *find(const std::string &key) const;

private:
    struct Entry
    {
        std::string key;
        units::WorkspaceName workspace;
    };

    std::unordered_multimap<std::size_t, Entry> entries_;
};

} // namespace monsoongrade::configuration

#endif // MONSOONGRADE_CONFIGURATION_KEYINDEX_H
