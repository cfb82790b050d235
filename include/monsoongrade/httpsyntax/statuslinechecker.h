#ifndef MONSOONGRADE_HTTPSYNTAX_STATUSLINECHECKER_H
#define MONSOONGRADE_HTTPSYNTAX_STATUSLINECHECKER_H

#include <cstddef>
#include <optional>
#include <string_view>

namespace monsoongrade::httpsyntax {

// Checks the start of a response as its bytes arrive: a version 1.x, one space, a status from 100
// to 599, and a space or the end of the line. HTTP libraries are more lenient: http_parser skips a
// status such as 000 or 20 as if it were that of an interim response, and libcurl takes up to 999.
class StatusLineChecker
{
public:
    // The next byte begins another response.
    void restart() { checked_ = 0; }

    // Returns false if the bytes can't continue a response. Empty lines before it are skipped.
    bool accept(std::string_view bytes);

    // The status and what must follow it have arrived.
    bool isComplete() const;

private:
    bool isAllowed(char c) const;

    std::size_t checked_ = 0;
};

// Returns the status in a status line, which is given without its line end; nullopt if the line is
// malformed.
std::optional<int> statusIn(std::string_view statusLine);

} // namespace monsoongrade::httpsyntax

#endif // MONSOONGRADE_HTTPSYNTAX_STATUSLINECHECKER_H
