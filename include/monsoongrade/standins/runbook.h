#ifndef MONSOONGRADE_STANDINS_RUNBOOK_H
#define MONSOONGRADE_STANDINS_RUNBOOK_H

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace monsoongrade::standins {

// How often one request id or one idempotency key was run.
struct RunCount
{
    std::int64_t begun = 0;
    std::int64_t ended = 0;
    std::int64_t cancelled = 0;
    // Broken off by the endpoint's own fault.
    std::int64_t broken = 0;
    std::int64_t resumed = 0;
    // Of the last answer that ended.
    std::uint32_t answerHash = 0;
};

// Counts runs by request id and by idempotency key, for at most so many of each; the oldest are
// forgotten. With a journal each event is also appended to a file at once, so that the counts
// outlive a killed process. Not thread-safe.
class RunBook
{
public:
    // An empty path is no journal. Throws std::runtime_error where it can't be opened.
    explicit RunBook(std::size_t mostIds, const std::string &journalPath = {});
    ~RunBook();
    RunBook(const RunBook &) = delete;
    RunBook &operator=(const RunBook &) = delete;

    void begun(const std::string &request, const std::string &key);
    void resumed(const std::string &request, const std::string &key);
    void ended(const std::string &request, const std::string &key, std::uint32_t answerHash);
    void cancelled(const std::string &request, const std::string &key);
    void broken(const std::string &request, const std::string &key);

    const std::map<std::string, RunCount> &requests() const { return requests_.counts; }
    const std::map<std::string, RunCount> &keys() const { return keys_.counts; }
    std::int64_t forgotten() const { return forgotten_; }

private:
    struct Counts
    {
        std::map<std::string, RunCount> counts;
        std::deque<std::string> order;
    };

    RunCount &find(Counts &counts, const std::string &id);
    template <typename Change>
    void note(const char *event, const std::string &request, const std::string &key, Change change);

    const std::size_t mostIds_;
    Counts requests_;
    Counts keys_;
    std::int64_t forgotten_ = 0;
    int journal_ = -1;
};

} // namespace monsoongrade::standins

#endif // MONSOONGRADE_STANDINS_RUNBOOK_H
