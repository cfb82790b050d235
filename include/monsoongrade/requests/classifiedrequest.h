#ifndef MONSOONGRADE_REQUESTS_CLASSIFIEDREQUEST_H
#define MONSOONGRADE_REQUESTS_CLASSIFIEDREQUEST_H

#include <monsoongrade/configuration/configuration.h>
#include <monsoongrade/endpoints/endpointrequest.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace monsoongrade::requests {

// A caller's request after the rules were applied to it.
struct ClassifiedRequest
{
    units::RequestId id;
    units::WorkspaceName workspace;
    configuration::ClassConfig classConfig;
    configuration::PoolConfig pool;
    configuration::RunRule run = configuration::RunRule::Idempotent;
    units::IdempotencyKey idempotencyKey;
    units::PrefixHash prefix;
    bool streamed = false;
    // How long the caller waits for the whole answer, from its arrival, if it said so.
    std::optional<units::Duration> timeout;
    // The answer is kept for repeats of the request, so no single slow caller holds it back.
    bool answerShared = false;
    // What is sent to the endpoint, but for its address.
    std::string method;
    std::string pathAndQuery;
    endpoints::Headers headers;
    std::string body;
    // See endpoints::EndpointRequest::maySend.
    std::function<bool()> maySend;
    // Keeps the configuration that the request was classified under.
    std::shared_ptr<const configuration::Configuration> configuration;
};

} // namespace monsoongrade::requests

#endif // MONSOONGRADE_REQUESTS_CLASSIFIEDREQUEST_H
