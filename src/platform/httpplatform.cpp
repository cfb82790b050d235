#include <monsoongrade/platform/httpplatform.h>

#include <monsoongrade/endpoints/wholeanswer.h>

#include <nlohmann/json.hpp>

namespace monsoongrade::platform {

namespace {

using nlohmann::json;
using units::ResultCode;

constexpr auto CallLimit = std::chrono::seconds(2);
// A list of all hosts, or of many small objects; a single value has a megabyte at most.
constexpr std::size_t MaxAnswerBytes = 16 * 1024 * 1024;

ResultCode codeFor(int status)
{
    switch (status) {
    case 404:
        return ResultCode::ObjectNotFound;
    case 409:
        return ResultCode::ObjectAlreadyExists;
    case 412:
        return ResultCode::VersionConflict;
    default:
        return ResultCode::PlatformUnavailable;
    }
}

ObjectVersion readVersion(const json &item)
{
    const json &version = item.at("version");
    // The library would turn -1 into the highest version there is.
    if (!version.is_number_unsigned())
        throw json::type_error::create(302, "version must be a whole number from 0", &version);
    return ObjectVersion(version.get<std::uint64_t>());
}

StoredObject readObject(const json &item)
{
    return {item.at("name").get<std::string>(), readVersion(item),
            item.at("value").get<std::string>()};
}

// Whether the text is the first of the two; any third is an error, since a guess at a host's role
// or state would send work to the wrong place.
bool isFirstOf(const json &item, const char *key, const char *first, const char *second)
{
    const auto text = item.at(key).get<std::string>();
    if (text != first && text != second)
        throw json::type_error::create(302, "unknown " + std::string(key) + " " + text, &item);
    return text == first;
}

Host readHost(const json &item)
{
    Host host;
    host.name = units::HostName(item.at("name").get<std::string>());
    host.address = item.at("address").get<std::string>();
    host.failureDomain = units::FailureDomain(item.at("failure_domain").get<std::string>());
    host.role = isFirstOf(item, "role", "entry", "endpoint") ? HostRole::Entry : HostRole::Endpoint;
    host.state = isFirstOf(item, "state", "live", "leaving") ? HostState::Live : HostState::Leaving;
    return host;
}

// Runs a reader over the parsed answer and turns every fault of form into one numbered error.
template <typename Reader>
auto parsed(const std::string &body, Reader reader) -> units::Result<decltype(reader(json()))>
{
    try {
        return reader(json::parse(body));
    } catch (const json::exception &error) {
        return units::fail(ResultCode::PlatformAnswerMalformed, error.what());
    }
}

std::string escaped(const std::string &text)
{
    static const char *const Digits = "0123456789ABCDEF";
    std::string out;
    for (const unsigned char c : text) {
        if (std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.' || c == '/') {
            out += static_cast<char>(c);
        } else {
            out += '%';
            out += Digits[c >> 4];
            out += Digits[c & 15];
        }
    }
    return out;
}

} // namespace

HttpPlatform::HttpPlatform(endpoints::EndpointClient &client, std::string base)
    : client_(client)
    , base_(std::move(base))
{
}

units::Result<StoredObject> HttpPlatform::get(const std::string &name)
{
    BOOST_LEAF_AUTO(body, call("GET", "/v1/objects/" + escaped(name), {}, {}, CallLimit));
    return parsed(body, readObject);
}

units::Result<std::vector<StoredObject>> HttpPlatform::list(const std::string &prefix)
{
    BOOST_LEAF_AUTO(body, call("GET", "/v1/list?prefix=" + escaped(prefix), {}, {}, CallLimit));
    return parsed(body, [](const json &answer) {
        std::vector<StoredObject> objects;
        for (const json &item : answer.at("objects"))
            objects.push_back(readObject(item));
        return objects;
    });
}

units::Result<ObjectVersion> HttpPlatform::createIfAbsent(const std::string &name,
                                                          const std::string &value)
{
    return put(name, {"If-None-Match", "*"}, value);
}

units::Result<ObjectVersion> HttpPlatform::updateIfVersion(const std::string &name,
                                                           ObjectVersion version,
                                                           const std::string &value)
{
    return put(name, {"If-Match", std::to_string(version.value())}, value);
}

units::Result<void> HttpPlatform::remove(const std::string &name)
{
    BOOST_LEAF_CHECK(call("DELETE", "/v1/objects/" + escaped(name), {}, {}, CallLimit));
    return {};
}

units::Result<void> HttpPlatform::removeIfVersion(const std::string &name, ObjectVersion version)
{
    const endpoints::Header condition{"If-Match", std::to_string(version.value())};
    BOOST_LEAF_CHECK(call("DELETE", "/v1/objects/" + escaped(name), {condition}, {}, CallLimit));
    return {};
}

units::Result<StoredObject> HttpPlatform::waitForChange(const std::string &name,
                                                        ObjectVersion above, units::Duration wait)
{
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
    const std::string path = "/v1/watch/" + escaped(name)
        + "?above=" + std::to_string(above.value()) + "&wait_ms=" + std::to_string(milliseconds);
    BOOST_LEAF_AUTO(body, call("GET", path, {}, {}, wait + CallLimit));
    return parsed(body, readObject);
}

units::Result<std::vector<Host>> HttpPlatform::hosts()
{
    BOOST_LEAF_AUTO(body, call("GET", "/v1/hosts", {}, {}, CallLimit));
    return parsed(body, [](const json &answer) {
        std::vector<Host> hosts;
        for (const json &item : answer.at("hosts"))
            hosts.push_back(readHost(item));
        return hosts;
    });
}

units::Result<std::string> HttpPlatform::call(const std::string &method,
                                              const std::string &pathAndQuery,
                                              const endpoints::Headers &headers,
                                              const std::string &body, units::Duration limit)
{
    endpoints::EndpointRequest request;
    request.method = method;
    request.url = base_ + pathAndQuery;
    request.headers = headers;
    request.body = body;
    request.silenceTimeout = limit;
    const endpoints::WholeAnswer answer = endpoints::callAndWait(client_, request, MaxAnswerBytes);
    if (answer.end.code == ResultCode::BodyTooLarge)
        return units::fail(ResultCode::PlatformAnswerMalformed,
                           method + " " + pathAndQuery + ": " + answer.end.message);
    if (answer.end.code != ResultCode::Ok)
        return units::fail(ResultCode::PlatformUnavailable,
                           "the platform's API at " + base_ + ": " + answer.end.message);
    if (answer.status < 200 || answer.status > 299)
        return units::fail(codeFor(answer.status),
                           method + " " + pathAndQuery + " was answered with status "
                               + std::to_string(answer.status));
    return answer.body;
}

units::Result<ObjectVersion> HttpPlatform::put(const std::string &name,
                                               const endpoints::Header &condition,
                                               const std::string &value)
{
    BOOST_LEAF_AUTO(body,
                    call("PUT", "/v1/objects/" + escaped(name), {condition}, value, CallLimit));
    return parsed(body, [](const json &answer) { return readVersion(answer); });
}

} // namespace monsoongrade::platform
