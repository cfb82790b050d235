#include <endpoints/internal/responseheadreader.h>

#include <monsoongrade/httpsyntax/headersyntax.h>
#include <monsoongrade/httpsyntax/statuslinechecker.h>

#include <algorithm>
#include <cctype>
#include <optional>
#include <utility>

namespace monsoongrade::endpoints::internal {

namespace {

constexpr int StatusSwitchingProtocols = 101;
constexpr int FirstFinalStatus = 200;

std::string lowerCase(std::string_view text)
{
    std::string result(text);
    std::transform(result.begin(), result.end(), result.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return result;
}

bool isBlank(char c)
{
    return c == ' ' || c == '\t';
}

} // namespace

bool ResponseHeadReader::addLine(std::string_view line)
{
    if (!line.empty() && line.back() == '\n')
        line.remove_suffix(1);
    if (!line.empty() && line.back() == '\r')
        line.remove_suffix(1);
    if (next_ == Next::StatusLine)
        return addStatusLine(line);
    if (line.empty()) {
        next_ = isInterim_ ? Next::StatusLine : Next::Trailer;
        mayContinue_ = false;
        return true;
    }
    return isBlank(line.front()) ? continueHeader(line) : addHeader(line);
}

bool ResponseHeadReader::addStatusLine(std::string_view line)
{
    const std::optional<int> status = httpsyntax::statusIn(line);
    if (!status)
        return fail("malformed status line");
    if (*status == StatusSwitchingProtocols) // no request asks for that
        return fail("unexpected change of the protocol");
    isInterim_ = *status < FirstFinalStatus;
    headers_.clear();
    next_ = Next::Header;
    return true;
}

bool ResponseHeadReader::addHeader(std::string_view line)
{
    const std::size_t colon = line.find(':');
    const std::string_view name = line.substr(0, colon);
    if (colon == std::string_view::npos || !httpsyntax::isHeaderName(name))
        return fail("malformed header name");
    std::string_view value = line.substr(colon + 1);
    while (!value.empty() && value.front() == ' ')
        value.remove_prefix(1);
    if (!httpsyntax::isHeaderValue(value))
        return fail("malformed header value");
    mayContinue_ = true;
    if (next_ == Next::Header)
        headers_.emplace_back(lowerCase(name), std::string(value));
    return true;
}

// A value that goes on in the next line (RFC 9112 section 5.2).
bool ResponseHeadReader::continueHeader(std::string_view line)
{
    if (!mayContinue_)
        return fail("malformed header name");
    if (!httpsyntax::isHeaderValue(line))
        return fail("malformed header value");
    while (!line.empty() && isBlank(line.front()))
        line.remove_prefix(1);
    if (next_ == Next::Header) {
        std::string &value = headers_.back().second;
        value.append(value.empty() ? "" : " ").append(line);
    }
    return true;
}

bool ResponseHeadReader::fail(std::string problem)
{
    problem_ = std::move(problem);
    return false;
}

} // namespace monsoongrade::endpoints::internal
