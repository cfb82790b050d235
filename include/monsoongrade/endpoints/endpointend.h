#ifndef MONSOONGRADE_ENDPOINTS_ENDPOINTEND_H
#define MONSOONGRADE_ENDPOINTS_ENDPOINTEND_H

#include <monsoongrade/units/resultcode.h>

#include <string>

namespace monsoongrade::endpoints {

// How a call to an endpoint ended.
struct EndpointEnd
{
    // Ok, EndpointUnreachable, EndpointBrokeBeforeAnswer, EndpointBrokeInAnswer, EndpointSilent,
    // WaitedTooLong (the request's maySend said no).
    units::ResultCode code = units::ResultCode::Ok;
    // False only where no connection to the endpoint was made, or nothing was sent on it, so that
    // no byte can have left.
    bool requestSent = true;
    std::string message;
};

} // namespace monsoongrade::endpoints

#endif // MONSOONGRADE_ENDPOINTS_ENDPOINTEND_H
