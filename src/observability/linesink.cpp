#include <monsoongrade/observability/linesink.h>

#include <algorithm>

#include <poll.h>
#include <unistd.h>

namespace monsoongrade::observability {

LineSink::LineSink(int descriptor)
    : descriptor_(descriptor)
{
}

void LineSink::write(const std::string &line)
{
    const std::int64_t dropped = dropped_;
    if (dropped > reported_
        && tryWrite("level=WARNING event=log-lines-dropped lines="
                    + std::to_string(dropped - reported_)))
        reported_ = dropped;
    if (!tryWrite(line))
        ++dropped_;
}

bool LineSink::tryWrite(std::string line)
{
    line.resize(std::min(line.size(), MaxLineBytes - 1));
    line += '\n';
    pollfd ready{descriptor_, POLLOUT, 0};
    if (poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0)
        return false;
    return ::write(descriptor_, line.data(), line.size()) == ssize_t(line.size());
}

} // namespace monsoongrade::observability
