#ifndef MONSOONGRADE_DAEMON_OPERATORSERVICE_H
#define MONSOONGRADE_DAEMON_OPERATORSERVICE_H

#include <monsoongrade/http/httpresponder.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace monsoongrade::daemon {

// Answers operators on a listener of its own. Every path needs the operator token as a bearer
// token, but /healthz (the process runs) and /readyz (it takes new work); with an empty token all
// others are turned off.
class OperatorService
{
public:
    // Gives the answer's body for the query string.
    using Page = std::function<std::string(const std::string &query)>;

    // isReady answers /readyz.
    OperatorService(std::string token, std::function<bool()> isReady);

    void addPage(const std::string &path, Page page);
    void handle(const http::HttpRequest &request, http::HttpResponder &responder) const;

private:
    bool answerOpenPath(const std::string &path, http::HttpResponder &responder) const;
    bool isAllowed(const http::HttpRequest &request) const;

    std::string token_;
    std::function<bool()> isReady_;
    std::map<std::string, Page> pages_;
};

} // namespace monsoongrade::daemon

#endif // MONSOONGRADE_DAEMON_OPERATORSERVICE_H
