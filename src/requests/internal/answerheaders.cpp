#include <requests/internal/answerheaders.h>

#include <requests/internal/ownheaders.h>

namespace monsoongrade::requests::internal {

std::string valueOf(const endpoints::Headers &headers, const std::string &name)
{
    for (const auto &[key, value] : headers) {
        if (key == name)
            return value;
    }
    return {};
}

bool isEventStream(const endpoints::Headers &headers)
{
    return valueOf(headers, "content-type").compare(0, 17, "text/event-stream") == 0;
}

bool hasKnownEnd(int status, const std::string &method, const endpoints::Headers &headers)
{
    const bool hasNoBody = status == 204 || status == 304 || method == "HEAD";
    return hasNoBody || !valueOf(headers, "content-length").empty()
        || valueOf(headers, "transfer-encoding").find("chunked") != std::string::npos;
}

http::Headers passedBack(const endpoints::Headers &headers, const units::RequestId &id)
{
    http::Headers out;
    for (const auto &[name, value] : headers) {
        if (name == "content-length" || name == "transfer-encoding" || name == "connection"
            || name == "keep-alive" || name == "server" || name == "date" || isOwnHeader(name))
            continue;
        out.emplace_back(name, value);
    }
    out.emplace_back("monsoongrade-request-id", id.value());
    return out;
}

} // namespace monsoongrade::requests::internal
