#ifndef MONSOONGRADE_BENCH_SIMULATEDENGINE_H
#define MONSOONGRADE_BENCH_SIMULATEDENGINE_H

#include <monsoongrade/scheduling/recentprefixes.h>

#include <cstdint>
#include <vector>

namespace monsoongrade::bench {

// An engine with continuous batching: the more streams, the slower each, the more tokens in all.
// Beyond its batch it queues, by tier and then by arrival. Caches the prefixes seen last.
class SimulatedEngine
{
public:
    struct Stream
    {
        std::size_t request = 0;
        std::uint32_t tier = 0;
        std::uint64_t prefix = 0;
        int tokens = 0;
        double prefillLeft = 0;
        double made = 0;
        bool running = false;
    };

    explicit SimulatedEngine(int batch)
        : batch_(batch)
    {
    }

    // Tokens a second of one stream among n.
    static double streamSpeed(int n);
    // The time that an answer takes up a slot of a full batch; its prefix is not cached.
    static double slotSeconds(double tokens, int batch);

    void add(const Stream &stream);
    // Drops a stream; returns the tokens made for it.
    double cancel(std::size_t request);
    // Moves on by some seconds. Streams that finish are taken out and returned; those that made
    // their first token in this step are listed.
    std::vector<Stream> step(double seconds, std::vector<std::size_t> &firstTokens);

    void setSpeed(double factor) { factor_ = factor; }
    int load() const { return static_cast<int>(streams_.size()); }
    int freeSlots() const;
    // Tokens that a full batch would have made in the time, beyond what this one made.
    double unused(double seconds) const;
    double prefillSaved() const { return prefillSaved_; }
    double prefillDone() const { return prefillDone_; }

private:
    int running() const;
    void admit();

    int batch_;
    double factor_ = 1;
    double prefillSaved_ = 0;
    double prefillDone_ = 0;
    std::vector<Stream> streams_;
    scheduling::RecentPrefixes cache_;
};

} // namespace monsoongrade::bench

#endif // MONSOONGRADE_BENCH_SIMULATEDENGINE_H
