#ifndef MONSOONGRADE_HTTP_HTTPREQUEST_H
#define MONSOONGRADE_HTTP_HTTPREQUEST_H

#include <string>
#include <utility>
#include <vector>

namespace monsoongrade::http {

using Headers = std::vector<std::pair<std::string, std::string>>;

// A request as the server read it. Header names are in lower case.
struct HttpRequest
{
    std::string method;
    std::string path;
    std::string query;
    Headers headers;
    std::string body;
    // "address:port" of the caller.
    std::string remote;

    // The first header of that lower-case name, or an empty string.
    std::string header(const std::string &name) const;
};

} // namespace monsoongrade::http

#endif // MONSOONGRADE_HTTP_HTTPREQUEST_H
