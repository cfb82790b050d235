#ifndef MONSOONGRADE_OBSERVABILITY_LINESINK_H
#define MONSOONGRADE_OBSERVABILITY_LINESINK_H

#include <atomic>
#include <cstdint>
#include <string>

namespace monsoongrade::observability {

// Writes log lines to a descriptor without ever waiting for its reader. A reader that is slow or
// stopped fills the pipe; a blocking write would then stop all requests of the process. Such lines
// are dropped and counted, and the count is written as soon as there is room again. Thread-safe.
class LineSink
{
public:
    explicit LineSink(int descriptor);

    // The line without its end. A longer one than MaxLineBytes is cut.
    void write(const std::string &line);
    std::int64_t dropped() const { return dropped_; }

private:
    // A pipe that says it is writable takes this many bytes at once (PIPE_BUF on Linux).
    static constexpr std::size_t MaxLineBytes = 4096;

    bool tryWrite(std::string line);

    int descriptor_;
    std::atomic<std::int64_t> dropped_{0};
    std::atomic<std::int64_t> reported_{0};
};

} // namespace monsoongrade::observability

#endif // MONSOONGRADE_OBSERVABILITY_LINESINK_H
