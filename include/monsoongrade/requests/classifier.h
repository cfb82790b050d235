#ifndef MONSOONGRADE_REQUESTS_CLASSIFIER_H
#define MONSOONGRADE_REQUESTS_CLASSIFIER_H

#include <monsoongrade/http/httprequest.h>
#include <monsoongrade/requests/classifiedrequest.h>
#include <monsoongrade/units/result.h>

namespace monsoongrade::requests {

// The workspace whose API key the request carries. Errors: UnknownKey.
units::Result<units::WorkspaceName> workspaceOf(const http::HttpRequest &request,
                                                const configuration::Configuration &configuration);

// Finds the workspace by API key and the class, pool and run rule by the configuration's rules.
// Errors: UnknownKey, MalformedRequest, UnknownModel, NoRouteForRequest.
units::Result<ClassifiedRequest>
classify(const http::HttpRequest &request, const units::RequestId &id,
         std::shared_ptr<const configuration::Configuration> configuration);

} // namespace monsoongrade::requests

#endif // MONSOONGRADE_REQUESTS_CLASSIFIER_H
