#ifndef MONSOONGRADE_REQUESTS_STREAMSCANNER_H
#define MONSOONGRADE_REQUESTS_STREAMSCANNER_H

#include <string>
#include <string_view>

namespace monsoongrade::requests {

// Follows a stream of server-sent events: counts the finished events with data and knows whether
// the closing marker "[DONE]" has come. A stream without it was cut, even if the connection ended
// regularly.
class StreamScanner
{
public:
    void scan(std::string_view bytes);
    std::int64_t events() const { return events_; }
    bool isClosed() const { return closed_; }

private:
    void scanLine();

    std::string line_;
    std::int64_t events_ = 0;
    bool eventHasData_ = false;
    bool closed_ = false;
};

} // namespace monsoongrade::requests

#endif // MONSOONGRADE_REQUESTS_STREAMSCANNER_H
