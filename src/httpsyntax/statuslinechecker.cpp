#include <monsoongrade/httpsyntax/statuslinechecker.h>

namespace monsoongrade::httpsyntax {

namespace {

constexpr std::string_view VersionPrefix = "HTTP/1.";
constexpr std::size_t MinorVersionAt = VersionPrefix.size();
constexpr std::size_t StatusAt = MinorVersionAt + 2; // after a space
constexpr std::size_t StatusEnd = StatusAt + 3;
constexpr std::size_t Length = StatusEnd + 1;

bool isDigit(char c)
{
    return c >= '0' && c <= '9';
}

} // namespace

bool StatusLineChecker::accept(std::string_view bytes)
{
    for (const char c : bytes) {
        if (isComplete())
            return true;
        if (checked_ == 0 && (c == '\r' || c == '\n'))
            continue;
        if (!isAllowed(c))
            return false;
        ++checked_;
    }
    return true;
}

bool StatusLineChecker::isComplete() const
{
    return checked_ == Length;
}

bool StatusLineChecker::isAllowed(char c) const
{
    if (checked_ < MinorVersionAt)
        return c == VersionPrefix[checked_];
    if (checked_ == StatusAt - 1)
        return c == ' ';
    if (checked_ == StatusAt)
        return c >= '1' && c <= '5';
    if (checked_ == StatusEnd)
        return c == ' ' || c == '\r' || c == '\n';
    return isDigit(c);
}

std::optional<int> statusIn(std::string_view statusLine)
{
    StatusLineChecker checker;
    if (!checker.accept(statusLine) || !checker.accept("\n") || !checker.isComplete())
        return std::nullopt;
    int status = 0;
    for (const char digit : statusLine.substr(StatusAt, StatusEnd - StatusAt))
        status = status * 10 + (digit - '0');
    return status;
}

} // namespace monsoongrade::httpsyntax
