#ifndef MONSOONGRADE_SRC_REQUESTS_INTERNAL_ENDPOINTCALL_H
#define MONSOONGRADE_SRC_REQUESTS_INTERNAL_ENDPOINTCALL_H

#include <monsoongrade/requests/classifiedrequest.h>

namespace monsoongrade::requests::internal {

// The call of a request to one endpoint.
endpoints::EndpointRequest endpointCall(const ClassifiedRequest &request,
                                        const configuration::EndpointConfig &endpoint);

} // namespace monsoongrade::requests::internal

#endif // MONSOONGRADE_SRC_REQUESTS_INTERNAL_ENDPOINTCALL_H
