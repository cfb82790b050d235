#ifndef MONSOONGRADE_ENDPOINTS_WHOLEANSWER_H
#define MONSOONGRADE_ENDPOINTS_WHOLEANSWER_H

#include <monsoongrade/endpoints/endpointclient.h>

#include <cstddef>
#include <limits>
#include <string>
#include <vector>

namespace monsoongrade::endpoints {

// An answer that was read to its end, for calls that need no streaming.
struct WholeAnswer
{
    int status = 0;
    Headers headers;
    std::string body;
    EndpointEnd end;
};

// Makes the call and waits for its end. Blocks; not for the client's own thread. A body of more
// than mostBytes ends the call with BodyTooLarge.
WholeAnswer callAndWait(EndpointClient &client, EndpointRequest request,
                        std::size_t mostBytes = std::numeric_limits<std::size_t>::max());

// Makes all calls at once and waits until each has ended or the limit is over; a call that goes on
// then is cancelled and ends as EndpointSilent. Answers in the order of the requests.
std::vector<WholeAnswer> callAllAndWait(EndpointClient &client,
                                        std::vector<EndpointRequest> requests,
                                        units::Duration limit);

} // namespace monsoongrade::endpoints

#endif // MONSOONGRADE_ENDPOINTS_WHOLEANSWER_H
