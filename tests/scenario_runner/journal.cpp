#include "journal.h"

#include <fstream>

namespace monsoongrade::scenarios {

std::vector<JournalEntry> readJournal(const std::string &endpoint,
                                      const std::filesystem::path &path)
{
    std::vector<JournalEntry> entries;
    std::ifstream in(path);
    JournalEntry entry;
    entry.endpoint = endpoint;
    std::int64_t milliseconds = 0;
    while (in >> entry.event >> milliseconds >> entry.request >> entry.key) {
        entry.time = std::chrono::steady_clock::time_point(std::chrono::milliseconds(milliseconds));
        if (entry.key == "-")
            entry.key.clear();
        entries.push_back(entry);
    }
    return entries;
}

} // namespace monsoongrade::scenarios
