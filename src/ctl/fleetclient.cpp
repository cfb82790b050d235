#include <monsoongrade/ctl/fleetclient.h>

#include <monsoongrade/endpoints/wholeanswer.h>

namespace monsoongrade::ctl {

namespace {

constexpr auto PageLimit = std::chrono::seconds(2);
constexpr int Unauthorized = 401;

} // namespace

FleetClient::FleetClient(const Options &options, endpoints::EndpointClient &client,
                         platform::HostList &hosts)
    : options_(options)
    , client_(client)
    , hosts_(hosts)
{
}

units::Result<std::vector<platform::Host>> FleetClient::entryHosts()
{
    BOOST_LEAF_AUTO(all, hosts_.hosts());
    std::vector<platform::Host> entry;
    for (const platform::Host &host : all) {
        if (host.role == platform::HostRole::Entry)
            entry.push_back(host);
    }
    return entry;
}

HostPage FleetClient::page(const platform::Host &host, const std::string &pathAndQuery)
{
    endpoints::EndpointRequest request;
    request.method = "GET";
    request.url
        = "http://" + host.address + ":" + std::to_string(options_.operatorPort) + pathAndQuery;
    request.headers = {{"Authorization", "Bearer " + options_.operatorToken}};
    request.silenceTimeout = PageLimit;
    const endpoints::WholeAnswer answer = endpoints::callAndWait(client_, request);
    if (answer.end.code != units::ResultCode::Ok)
        return {host, {}, answer.end.message, false};
    if (answer.status != 200)
        return {host, {}, "status " + std::to_string(answer.status), answer.status == Unauthorized};
    return {host, answer.body, {}, false};
}

units::Result<std::vector<HostPage>> FleetClient::pages(const std::string &pathAndQuery)
{
    BOOST_LEAF_AUTO(hosts, entryHosts());
    std::vector<HostPage> result;
    result.reserve(hosts.size());
    for (const platform::Host &host : hosts)
        result.push_back(page(host, pathAndQuery));
    return result;
}

} // namespace monsoongrade::ctl
