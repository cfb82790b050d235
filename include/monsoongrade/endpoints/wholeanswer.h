#ifndef MONSOONGRADE_ENDPOINTS_WHOLEANSWER_H
#define MONSOONGRADE_ENDPOINTS_WHOLEANSWER_H

#include <monsoongrade/endpoints/endpointclient.h>

#include <string>

namespace monsoongrade::endpoints {

// An answer that was read to its end, for calls that need no streaming.
struct WholeAnswer
{
    int status = 0;
    Headers headers;
    std::string body;
    EndpointEnd end;
};

// Makes the call and waits for its end. Blocks; not for the client's own thread.
WholeAnswer callAndWait(EndpointClient &client, EndpointRequest request);

} // namespace monsoongrade::endpoints

#endif // MONSOONGRADE_ENDPOINTS_WHOLEANSWER_H
