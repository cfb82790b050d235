#ifndef MONSOONGRADE_DAEMON_OPERATORSERVICE_H
#define MONSOONGRADE_DAEMON_OPERATORSERVICE_H

#include <monsoongrade/http/httpresponder.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace monsoongrade::daemon {

// Answers operators on a listener of its own. Every path but /healthz needs the operator token
// as a bearer token; with an empty token all of them are turned off.
class OperatorService
{
public:
    // Gives the answer's body for the query string.
    using Page = std::function<std::string(const std::string &query)>;

    explicit OperatorService(std::string token);

    void addPage(const std::string &path, Page page);
    void handle(const http::HttpRequest &request, http::HttpResponder &responder) const;

private:
    bool isAllowed(const http::HttpRequest &request) const;

    std::string token_;
    std::map<std::string, Page> pages_;
};

} // namespace monsoongrade::daemon

#endif // MONSOONGRADE_DAEMON_OPERATORSERVICE_H
