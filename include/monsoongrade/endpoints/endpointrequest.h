#ifndef MONSOONGRADE_ENDPOINTS_ENDPOINTREQUEST_H
#define MONSOONGRADE_ENDPOINTS_ENDPOINTREQUEST_H

#include <monsoongrade/units/clock.h>

#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace monsoongrade::endpoints {

using Header = std::pair<std::string, std::string>;
using Headers = std::vector<Header>;

// One HTTP call to an endpoint.
struct EndpointRequest
{
    std::string method = "POST";
    // "http://address:port/path?query"
    std::string url;
    Headers headers;
    std::string body;
    units::Duration connectTimeout = std::chrono::seconds(2);
    // The call ends as EndpointSilent when no byte arrives for this long.
    units::Duration silenceTimeout = std::chrono::seconds(30);
    // A reused connection may have died unseen; the HTTP library then repeats the call on a new
    // one by itself. Set for calls that must not be repeated: a new connection is never retried.
    bool freshConnection = false;
    // Asked on the client's thread when a connection stands, right before the first byte leaves;
    // false ends the call as WaitedTooLong and not sent. Not asked where it is empty.
    std::function<bool()> maySend;
};

} // namespace monsoongrade::endpoints

#endif // MONSOONGRADE_ENDPOINTS_ENDPOINTREQUEST_H
