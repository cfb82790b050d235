#include <monsoongrade/requests/classifier.h>

#include <requests/internal/ownheaders.h>

#include <monsoongrade/units/secrets.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdlib>

namespace monsoongrade::requests {

namespace {

using configuration::Configuration;
using configuration::PoolConfig;
using configuration::PoolKind;
using configuration::RuleConfig;
using configuration::WorkspaceConfig;
using nlohmann::json;
using units::ResultCode;

constexpr std::size_t PrefixBytes = 256;
constexpr std::size_t MaxIdempotencyKey = 200;
const char *const TimeoutHeader = "monsoongrade-timeout";
constexpr double MaxTimeoutSeconds = 24 * 3600;

// What the rules can see of a request's body.
struct BodyView
{
    units::ModelName model;
    bool streamed = false;
    std::string promptStart;
};

std::string keyOf(const http::HttpRequest &request)
{
    const std::string token = units::bearerToken(request.header("authorization"));
    return token.empty() ? request.header("x-api-key") : token;
}

const WorkspaceConfig *findWorkspace(const Configuration &configuration, const std::string &key)
{
    const units::WorkspaceName *name = configuration.keys.find(key);
    return name == nullptr ? nullptr : &configuration.workspaces.at(*name);
}

std::string promptStart(const json &body)
{
    std::string start;
    if (body.contains("messages") && body["messages"].is_array()) {
        for (const json &message : body["messages"]) {
            if (message.is_object() && message.contains("content")
                && message["content"].is_string())
                start += message["content"].get_ref<const std::string &>();
            if (start.size() >= PrefixBytes)
                break;
        }
    } else if (body.contains("prompt") && body["prompt"].is_string()) {
        start = body["prompt"].get<std::string>();
    }
    return start.substr(0, PrefixBytes);
}

bool isCompletionsPath(const std::string &path)
{
    return path == "/v1/chat/completions" || path == "/v1/completions";
}

units::Result<BodyView> viewBody(const http::HttpRequest &request)
{
    BodyView view;
    if (!isCompletionsPath(request.path))
        return view;
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object())
        return units::fail(ResultCode::MalformedRequest, "the body is not a JSON object");
    if (!body.contains("model") || !body["model"].is_string())
        return units::fail(ResultCode::MalformedRequest, "\"model\" must be given as a text");
    view.model = units::ModelName(body["model"].get<std::string>());
    if (body.contains("stream")) {
        if (!body["stream"].is_boolean())
            return units::fail(ResultCode::MalformedRequest, "\"stream\" must be true or false");
        view.streamed = body["stream"].get<bool>();
    }
    view.promptStart = promptStart(body);
    return view;
}

bool matches(const RuleConfig &rule, const http::HttpRequest &request, const BodyView &body,
             const units::WorkspaceName &workspace)
{
    if (request.path.compare(0, rule.pathPrefix.size(), rule.pathPrefix) != 0)
        return false;
    if (!rule.method.empty() && rule.method != request.method)
        return false;
    if (!rule.model.isEmpty() && rule.model != body.model)
        return false;
    if (!rule.workspace.isEmpty() && rule.workspace != workspace)
        return false;
    return rule.headerName.empty() || request.header(rule.headerName) == rule.headerValue;
}

const PoolConfig *poolForModel(const Configuration &configuration, const units::ModelName &model)
{
    if (model.isEmpty())
        return nullptr;
    for (const auto &entry : configuration.pools) {
        const auto &models = entry.second.models;
        if (std::find(models.begin(), models.end(), model) != models.end())
            return &entry.second;
    }
    return nullptr;
}

// Headers that belong to one connection, or are ours, are not passed on.
bool isPassedOn(const std::string &name)
{
    static const std::vector<std::string> NotPassedOn{
        "host",           "connection", "content-length",   "transfer-encoding",
        "authorization",  "x-api-key",  "keep-alive",       "te",
        "upgrade",        "expect",     "proxy-connection", "trailer",
        "accept-encoding"};
    return !internal::isOwnHeader(name)
        && std::find(NotPassedOn.begin(), NotPassedOn.end(), name) == NotPassedOn.end();
}

units::Result<std::optional<units::Duration>> timeoutOf(const http::HttpRequest &request)
{
    const std::string text = request.header(TimeoutHeader);
    if (text.empty())
        return std::optional<units::Duration>();
    char *end = nullptr;
    const double seconds = std::strtod(text.c_str(), &end);
    const bool isNumber = end == text.c_str() + text.size();
    // Written so that "nan" fails it.
    if (!isNumber || !(seconds > 0 && seconds <= MaxTimeoutSeconds))
        return units::fail(ResultCode::MalformedRequest,
                           std::string(TimeoutHeader)
                               + " must be a number of seconds above 0 and at most 86400");
    return std::optional(
        std::chrono::duration_cast<units::Duration>(std::chrono::duration<double>(seconds)));
}

units::PrefixHash prefixHash(const std::string &start)
{
    return units::PrefixHash(start.empty() ? 0 : std::hash<std::string>()(start) | 1U);
}

units::Result<void> applyRules(ClassifiedRequest &result, const http::HttpRequest &request,
                               const BodyView &body, const WorkspaceConfig &workspace)
{
    const Configuration &configuration = *result.configuration;
    const auto rule = std::find_if(
        configuration.rules.begin(), configuration.rules.end(),
        [&](const RuleConfig &r) { return matches(r, request, body, workspace.name); });
    const bool ruled = rule != configuration.rules.end();
    units::ClassName className = workspace.defaultClass;
    if (ruled && !rule->className.isEmpty())
        className = rule->className;
    const auto classConfig = configuration.classes.find(className);
    if (classConfig == configuration.classes.end())
        return units::fail(ResultCode::NoRouteForRequest,
                           "no rule gives this request a class and its workspace has no default");
    result.classConfig = classConfig->second;
    const PoolConfig *pool = poolForModel(configuration, body.model);
    if (ruled && !rule->pool.isEmpty())
        pool = &configuration.pools.at(rule->pool);
    if (pool == nullptr && !body.model.isEmpty())
        return units::fail(ResultCode::UnknownModel,
                           "no pool has the model \"" + body.model.value() + "\"");
    if (pool == nullptr)
        return units::fail(ResultCode::NoRouteForRequest,
                           "no rule gives the path " + request.path + " a pool");
    result.pool = *pool;
    // Without a rule nobody has said that a service's call may be repeated.
    result.run = pool->kind == PoolKind::Engine ? configuration::RunRule::Idempotent
                                                : configuration::RunRule::AtMostOnce;
    if (ruled && rule->run)
        result.run = *rule->run;
    return {};
}

} // namespace

units::Result<units::WorkspaceName> workspaceOf(const http::HttpRequest &request,
                                                const Configuration &configuration)
{
    const WorkspaceConfig *workspace = findWorkspace(configuration, keyOf(request));
    if (workspace == nullptr)
        return units::fail(ResultCode::UnknownKey,
                           "give a known API key as \"Authorization: Bearer KEY\"");
    return workspace->name;
}

units::Result<ClassifiedRequest> classify(const http::HttpRequest &request,
                                          const units::RequestId &id,
                                          std::shared_ptr<const Configuration> configuration)
{
    BOOST_LEAF_AUTO(workspaceName, workspaceOf(request, *configuration));
    const WorkspaceConfig &workspace = configuration->workspaces.at(workspaceName);
    BOOST_LEAF_AUTO(body, viewBody(request));
    ClassifiedRequest result;
    result.id = id;
    result.workspace = workspaceName;
    result.configuration = std::move(configuration);
    BOOST_LEAF_CHECK(applyRules(result, request, body, workspace));
    result.idempotencyKey = units::IdempotencyKey(request.header("idempotency-key"));
    if (result.idempotencyKey.value().size() > MaxIdempotencyKey)
        return units::fail(ResultCode::MalformedRequest,
                           "the idempotency key is longer than " + std::to_string(MaxIdempotencyKey)
                               + " bytes");
    BOOST_LEAF_ASSIGN(result.timeout, timeoutOf(request));
    result.prefix = prefixHash(body.promptStart);
    result.streamed = body.streamed;
    result.method = request.method;
    result.pathAndQuery = request.path + (request.query.empty() ? "" : "?" + request.query);
    for (const auto &header : request.headers) {
        if (isPassedOn(header.first))
            result.headers.push_back(header);
    }
    result.headers.emplace_back("monsoongrade-request-id", id.value());
    if (result.pool.honoursPriority)
        result.headers.emplace_back("priority",
                                    std::to_string(result.classConfig.policy.tier.value()));
    result.body = request.body;
    return result;
}

} // namespace monsoongrade::requests
