#include <monsoongrade/ctl/fleetclient.h>

#include <monsoongrade/endpoints/wholeanswer.h>

namespace monsoongrade::ctl {

namespace {

using units::ResultCode;

// For all daemons together, since they are asked at once.
constexpr auto PageLimit = std::chrono::seconds(2);
constexpr int Good = 200;
constexpr int Unauthorized = 401;

std::string faultOf(const endpoints::WholeAnswer &answer)
{
    if (answer.end.code != ResultCode::Ok)
        return units::describe({answer.end.code, answer.end.message});
    if (answer.status == Unauthorized)
        return units::describe({ResultCode::OperatorTokenRefused, "give it by --token"});
    return units::describe(
        {ResultCode::EndpointRefused, "it answered with status " + std::to_string(answer.status)});
}

} // namespace

std::string DaemonPage::name() const
{
    return (daemon == DaemonKind::Router ? "router " : "scheduler ") + host.name.value();
}

FleetClient::FleetClient(const Options &options, endpoints::EndpointClient &client,
                         platform::HostList &hosts)
    : options_(options)
    , client_(client)
    , hosts_(hosts)
{
}

units::Result<std::vector<platform::Host>> FleetClient::hosts()
{
    return hosts_.hosts();
}

units::Result<std::vector<platform::Host>> FleetClient::givenHosts() const
{
    std::vector<platform::Host> hosts;
    for (const std::string &address : options_.hosts) {
        platform::Host host;
        host.name = units::HostName(address);
        host.address = address;
        host.role = platform::HostRole::Entry;
        hosts.push_back(std::move(host));
    }
    return hosts;
}

units::Result<std::vector<DaemonPage>> FleetClient::routerPages(const std::string &pathAndQuery)
{
    return pages({DaemonKind::Router}, pathAndQuery);
}

units::Result<std::vector<DaemonPage>> FleetClient::allPages(const std::string &pathAndQuery)
{
    return pages({DaemonKind::Router, DaemonKind::Scheduler}, pathAndQuery);
}

units::Result<std::vector<DaemonPage>> FleetClient::pages(const std::vector<DaemonKind> &daemons,
                                                          const std::string &pathAndQuery)
{
    BOOST_LEAF_AUTO(hosts, options_.hosts.empty() ? hosts_.hosts() : givenHosts());
    std::vector<Address> addresses;
    std::vector<endpoints::EndpointRequest> requests;
    for (const platform::Host &host : hosts) {
        if (host.role != platform::HostRole::Entry)
            continue;
        for (const DaemonKind daemon : daemons) {
            addresses.push_back({host, daemon});
            requests.push_back(requestFor(addresses.back(), pathAndQuery));
        }
    }
    const auto answers = endpoints::callAllAndWait(client_, std::move(requests), PageLimit);
    std::vector<DaemonPage> result;
    result.reserve(answers.size());
    for (std::size_t i = 0; i < answers.size(); ++i) {
        const endpoints::WholeAnswer &answer = answers[i];
        DaemonPage page{addresses[i].host, addresses[i].daemon, {}, {}, false};
        if (answer.end.code == ResultCode::Ok && answer.status == Good)
            page.body = answer.body;
        else
            page.fault = faultOf(answer);
        page.isTokenRefused = answer.end.code == ResultCode::Ok && answer.status == Unauthorized;
        result.push_back(std::move(page));
    }
    return result;
}

endpoints::EndpointRequest FleetClient::requestFor(const Address &address,
                                                   const std::string &pathAndQuery) const
{
    const auto port = address.daemon == DaemonKind::Router ? options_.operatorPort
                                                           : options_.schedulerOperatorPort;
    endpoints::EndpointRequest request;
    request.method = "GET";
    request.url = "http://" + address.host.address + ":" + std::to_string(port) + pathAndQuery;
    request.headers = {{"Authorization", "Bearer " + options_.operatorToken}};
    request.connectTimeout = PageLimit;
    request.silenceTimeout = PageLimit;
    return request;
}

} // namespace monsoongrade::ctl
