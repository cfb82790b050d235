#include <monsoongrade/units/resultcode.h>

namespace monsoongrade::units {

// One case a code; a table would not be checked for completeness by the compiler.
// NOLINTNEXTLINE(readability-function-size)
std::string_view resultCodeName(ResultCode code)
{
    switch (code) {
    case ResultCode::Ok:
        return "ok";
    case ResultCode::MalformedRequest:
        return "malformed-request";
    case ResultCode::BodyTooLarge:
        return "body-too-large";
    case ResultCode::UnknownKey:
        return "unknown-key";
    case ResultCode::NoRouteForRequest:
        return "no-route-for-request";
    case ResultCode::UnknownModel:
        return "unknown-model";
    case ResultCode::NoSuchPath:
        return "no-such-path";
    case ResultCode::KeyReusedForOtherRequest:
        return "key-reused-for-other-request";
    case ResultCode::WorkspaceLimitReached:
        return "workspace-limit-reached";
    case ResultCode::MissingIdempotencyKey:
        return "missing-idempotency-key";
    case ResultCode::HeaderTooLarge:
        return "header-too-large";
    case ResultCode::OperatorTokenRefused:
        return "operator-token-refused";
    case ResultCode::QueueFull:
        return "queue-full";
    case ResultCode::DeadlineHopeless:
        return "deadline-hopeless";
    case ResultCode::WaitedTooLong:
        return "waited-too-long";
    case ResultCode::RouterStopping:
        return "router-stopping";
    case ResultCode::NoEndpointAvailable:
        return "no-endpoint-available";
    case ResultCode::ShedForHigherTier:
        return "shed-for-higher-tier";
    case ResultCode::CallerLeft:
        return "caller-left";
    case ResultCode::RetryBudgetSpent:
        return "retry-budget-spent";
    case ResultCode::TooManyRequestsOpen:
        return "too-many-requests-open";
    case ResultCode::StreamVersionUnknown:
        return "stream-version-unknown";
    case ResultCode::EndpointUnreachable:
        return "endpoint-unreachable";
    case ResultCode::EndpointRefused:
        return "endpoint-refused";
    case ResultCode::EndpointBrokeBeforeAnswer:
        return "endpoint-broke-before-answer";
    case ResultCode::EndpointBrokeInAnswer:
        return "endpoint-broke-in-answer";
    case ResultCode::EndpointSilent:
        return "endpoint-silent";
    case ResultCode::OutcomeUnknown:
        return "outcome-unknown";
    case ResultCode::RequestQuarantined:
        return "request-quarantined";
    case ResultCode::UnknownSetting:
        return "unknown-setting";
    case ResultCode::WrongType:
        return "wrong-type";
    case ResultCode::OutOfRange:
        return "out-of-range";
    case ResultCode::MissingSetting:
        return "missing-setting";
    case ResultCode::DuplicateName:
        return "duplicate-name";
    case ResultCode::DanglingReference:
        return "dangling-reference";
    case ResultCode::NotYaml:
        return "not-yaml";
    case ResultCode::FileUnreadable:
        return "file-unreadable";
    case ResultCode::NoConfiguration:
        return "no-configuration";
    case ResultCode::PlatformUnavailable:
        return "platform-unavailable";
    case ResultCode::VersionConflict:
        return "version-conflict";
    case ResultCode::ObjectNotFound:
        return "object-not-found";
    case ResultCode::ObjectAlreadyExists:
        return "object-already-exists";
    case ResultCode::PlatformAnswerMalformed:
        return "platform-answer-malformed";
    case ResultCode::ConfigurationTooOld:
        return "configuration-too-old";
    case ResultCode::SchedulerUnreachable:
        return "scheduler-unreachable";
    case ResultCode::ForeignCluster:
        return "foreign-cluster";
    case ResultCode::ProtocolVersionMismatch:
        return "protocol-version-mismatch";
    case ResultCode::PeerMessageMalformed:
        return "peer-message-malformed";
    case ResultCode::InternalFault:
        return "internal-fault";
    }
    return "unnamed";
}

} // namespace monsoongrade::units
