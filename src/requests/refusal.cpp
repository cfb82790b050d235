#include <monsoongrade/requests/refusal.h>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace monsoongrade::requests {

namespace {

using nlohmann::json;
using units::ResultCode;

long retrySeconds(units::Duration wait)
{
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
    return std::max<long>(1, (milliseconds + 999) / 1000);
}

bool isCallersFault(ResultCode code)
{
    const int number = static_cast<int>(code);
    return number >= 1000 && number < 2000 && code != ResultCode::WorkspaceLimitReached;
}

// What a request needs that did not run and would be refused again as it is; empty for all others.
std::string correction(ResultCode code)
{
    switch (code) {
    case ResultCode::BodyTooLarge:
    case ResultCode::HeaderTooLarge:
        return "Send less.";
    case ResultCode::UnknownKey:
        return "Ask the operator for a key.";
    case ResultCode::NoRouteForRequest:
    case ResultCode::NoSuchPath:
        return "Use another path, or ask the operator to route this one.";
    case ResultCode::UnknownModel:
        return "Use the name of another model.";
    case ResultCode::KeyReusedForOtherRequest:
        return "Use a new idempotency key for a new request.";
    case ResultCode::MissingIdempotencyKey:
        return "Send it with an Idempotency-Key header.";
    default:
        return isCallersFault(code) ? "Correct it before you send it again." : "";
    }
}

// Whether it ran, and what the caller should do next.
std::string advice(const Refusal &refusal)
{
    switch (refusal.runState) {
    case RunState::NotRun:
        if (const std::string next = correction(refusal.error.code); !next.empty())
            return "The request did not run. " + next;
        if (refusal.error.code == ResultCode::TooManyRequestsOpen
            || refusal.error.code == ResultCode::RouterStopping)
            return "The request did not run. Send it to another address of /v1/entry-points.";
        return refusal.retryAfter > units::Duration::zero()
            ? "The request did not run. Send it again after the given time."
            : "The request did not run. Send it again.";
    case RunState::Unknown:
        return refusal.mayRepeat
            ? "The request may have run. Send it again as it is; that does no harm."
            : "The request may have run. Look at its effect before you send it again.";
    case RunState::Partial:
        return refusal.mayRepeat
            ? "The request ran and this answer is not whole. Send it again for a whole one."
            : "The request ran and this answer is not whole. Look at its effect before you "
              "send it again.";
    }
    return {};
}

json body(const Refusal &refusal)
{
    json error;
    error["code"] = static_cast<int>(refusal.error.code);
    error["reason"] = units::resultCodeName(refusal.error.code);
    error["message"] = refusal.error.message + ". " + advice(refusal);
    error["run_state"] = runStateName(refusal.runState);
    error["request_id"] = refusal.request.value();
    if (refusal.retryAfter > units::Duration::zero())
        error["retry_after_seconds"] = retrySeconds(refusal.retryAfter);
    return json{{"error", error}};
}

std::string dump(const json &value)
{
    // A caller's bytes may be no valid UTF-8; they are replaced, not thrown at.
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

int httpStatusFor(ResultCode code)
{
    switch (code) {
    case ResultCode::MalformedRequest:
    case ResultCode::MissingIdempotencyKey:
        return 400;
    case ResultCode::UnknownKey:
    case ResultCode::OperatorTokenRefused:
        return 401;
    case ResultCode::NoRouteForRequest:
    case ResultCode::UnknownModel:
    case ResultCode::NoSuchPath:
        return 404;
    case ResultCode::KeyReusedForOtherRequest:
        return 409;
    case ResultCode::BodyTooLarge:
        return 413;
    case ResultCode::HeaderTooLarge:
        return 431;
    case ResultCode::WorkspaceLimitReached:
        return 429;
    case ResultCode::EndpointUnreachable:
    case ResultCode::EndpointBrokeBeforeAnswer:
    case ResultCode::EndpointBrokeInAnswer:
    case ResultCode::OutcomeUnknown:
        return 502;
    case ResultCode::EndpointSilent:
        return 504;
    default:
        return 503;
    }
}

void sendRefusal(http::HttpResponder &responder, const Refusal &refusal)
{
    http::Headers headers{{"Content-Type", "application/json"},
                          {"monsoongrade-request-id", refusal.request.value()},
                          {"monsoongrade-run-state", std::string(runStateName(refusal.runState))}};
    if (refusal.retryAfter > units::Duration::zero())
        headers.emplace_back("Retry-After", std::to_string(retrySeconds(refusal.retryAfter)));
    responder.answer(httpStatusFor(refusal.error.code), headers, dump(body(refusal)));
}

std::string refusalEvent(const Refusal &refusal)
{
    return "event: error\ndata: " + dump(body(refusal)) + "\n\n";
}

} // namespace monsoongrade::requests
