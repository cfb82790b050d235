#include <monsoongrade/requests/streamscanner.h>

namespace monsoongrade::requests {

namespace {

constexpr std::string_view DataPrefix = "data:";
constexpr std::string_view ClosingMarker = "[DONE]";
// Only the start of a line decides; the rest of a long one is not kept.
constexpr std::size_t KeptOfLine = 32;

} // namespace

void StreamScanner::scan(std::string_view bytes)
{
    while (!bytes.empty()) {
        const std::size_t newline = bytes.find('\n');
        const std::string_view part = bytes.substr(0, newline);
        if (line_.size() < KeptOfLine)
            line_.append(part.substr(0, KeptOfLine - line_.size()));
        if (newline == std::string_view::npos)
            return;
        scanLine();
        line_.clear();
        bytes.remove_prefix(newline + 1);
    }
}

void StreamScanner::scanLine()
{
    const std::string_view line = line_;
    if (line.empty() || line == "\r") {
        events_ += eventHasData_ ? 1 : 0;
        eventHasData_ = false;
    } else if (line.substr(0, DataPrefix.size()) == DataPrefix) {
        const bool closes = line.find(ClosingMarker) != std::string_view::npos;
        closed_ = closed_ || closes;
        eventHasData_ = !closes;
    }
}

} // namespace monsoongrade::requests
