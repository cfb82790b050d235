#include <monsoongrade/standins/runbook.h>

#include <chrono>
#include <stdexcept>

#include <fcntl.h>
#include <unistd.h>

namespace monsoongrade::standins {

RunBook::RunBook(std::size_t mostIds, const std::string &journalPath)
    : mostIds_(mostIds)
{
    if (journalPath.empty())
        return;
    journal_ = open(journalPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (journal_ < 0)
        throw std::runtime_error("can't open " + journalPath);
}

RunBook::~RunBook()
{
    if (journal_ >= 0)
        close(journal_);
}

void RunBook::begun(const std::string &request, const std::string &key)
{
    note("begun", request, key, [](RunCount &count) { ++count.begun; });
}

void RunBook::resumed(const std::string &request, const std::string &key)
{
    note("resumed", request, key, [](RunCount &count) { ++count.resumed; });
}

void RunBook::ended(const std::string &request, const std::string &key, std::uint32_t answerHash)
{
    note("ended", request, key, [answerHash](RunCount &count) {
        ++count.ended;
        count.answerHash = answerHash;
    });
}

void RunBook::cancelled(const std::string &request, const std::string &key)
{
    note("cancelled", request, key, [](RunCount &count) { ++count.cancelled; });
}

void RunBook::broken(const std::string &request, const std::string &key)
{
    note("broken", request, key, [](RunCount &count) { ++count.broken; });
}

RunCount &RunBook::find(Counts &counts, const std::string &id)
{
    const auto found = counts.counts.find(id);
    if (found != counts.counts.end())
        return found->second;
    if (counts.order.size() >= mostIds_) {
        counts.counts.erase(counts.order.front());
        counts.order.pop_front();
        ++forgotten_;
    }
    counts.order.push_back(id);
    return counts.counts[id];
}

template <typename Change>
void RunBook::note(const char *event, const std::string &request, const std::string &key,
                   Change change)
{
    change(find(requests_, request));
    if (!key.empty())
        change(find(keys_, key));
    if (journal_ < 0)
        return;
    const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::steady_clock::now().time_since_epoch());
    const std::string line = std::string(event) + " " + std::to_string(now.count()) + " "
        + (request.empty() ? "-" : request) + " " + (key.empty() ? "-" : key) + "\n";
    // One write a line: a process killed at any moment leaves whole lines only.
    if (write(journal_, line.data(), line.size()) != static_cast<ssize_t>(line.size()))
        throw std::runtime_error("can't write the journal of runs");
}

} // namespace monsoongrade::standins
