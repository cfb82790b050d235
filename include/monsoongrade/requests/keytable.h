#ifndef MONSOONGRADE_REQUESTS_KEYTABLE_H
#define MONSOONGRADE_REQUESTS_KEYTABLE_H

#include <monsoongrade/requests/sharedanswer.h>

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <string>

namespace monsoongrade::requests {

enum class KeyState {
    // Its request is on the way: claiming, asking the holder, or running.
    Working,
    // Ended; it ran or may have run.
    Finished,
    // Ended; certainly nothing ran. Another request with the key may.
    NotRun,
};

// What this router knows of one idempotency key.
struct KeyEntry
{
    std::string fingerprint;
    KeyState state = KeyState::Working;
    std::shared_ptr<SharedAnswer> answer;
    // Attempts of this router that may have taken the claim.
    std::vector<units::RequestId> attempts;
    // The claim is surely this router's, so that another request needs no call to the store.
    bool claimTaken = false;
    // With claimTaken: see ClaimOutcome.
    units::TimePoint sendBefore{};
    // Another router was told that it may take the claim over.
    bool givenUp = false;
    // Must be remembered until then, even if finished: no claim in the platform guards it.
    units::TimePoint keepUntil{};
    units::TimePoint endedAt{};
};

struct KeyTableLimits
{
    std::size_t entries = 100000;
    std::size_t answerBytes = 32 * 1024 * 1024;
    units::Duration answersKept = std::chrono::minutes(10);
};

// The keys that a router works on or remembers, by name, in shards with a lock each. Bounded:
// finished ones are forgotten by age, and the oldest answers first when they take too much.
class KeyTable
{
public:
    KeyTable(const units::Clock &clock, const KeyTableLimits &limits);

    // Runs the function on the key's entry under its lock; null where there is none.
    void with(const std::string &name, const std::function<void(KeyEntry *)> &function);
    // Like with(), but makes the entry if need be. False, without a call, where the table is full.
    bool withNew(const std::string &name, const std::function<void(KeyEntry &, bool)> &function);
    void ended(const std::string &name, KeyState state);
    void erase(const std::string &name);
    std::size_t size() const;

private:
    static constexpr std::size_t ShardCount = 16;
    struct Ended
    {
        std::string name;
        units::TimePoint at;
        std::size_t bytes = 0;
    };
    struct Shard
    {
        mutable std::mutex mutex;
        std::map<std::string, KeyEntry> entries;
        // In the order in which they ended; a name may stand in it more than once.
        std::deque<Ended> ended;
        std::size_t answerBytes = 0;
    };

    Shard &shardOf(const std::string &name);
    void purge(Shard &shard);

    const units::Clock &clock_;
    const KeyTableLimits limits_;
    std::array<Shard, ShardCount> shards_;
};

} // namespace monsoongrade::requests

#endif // MONSOONGRADE_REQUESTS_KEYTABLE_H
