#ifndef MONSOONGRADE_UNITS_RESULTCODE_H
#define MONSOONGRADE_UNITS_RESULTCODE_H

#include <string_view>

namespace monsoongrade::units {

// Every numbered outcome that a caller or an operator can meet. Numbers are never given twice;
// docs/RESULT-CODES.md holds the table. Thousands say who has to act: 1 the caller, 2 nobody
// (come back later), 3 the endpoint's operator, 4 the writer of settings or configuration,
// 5 whoever looks after the platform, 6 whoever looks after our own daemons.
enum class ResultCode : int {
    Ok = 0,
    MalformedRequest = 1001,
    BodyTooLarge = 1002,
    UnknownKey = 1003,
    NoRouteForRequest = 1004,
    UnknownModel = 1005,
    NoSuchPath = 1006,
    KeyReusedForOtherRequest = 1007,
    WorkspaceLimitReached = 1008,
    MissingIdempotencyKey = 1009,
    HeaderTooLarge = 1010,
    OperatorTokenRefused = 1011,
    QueueFull = 2001,
    DeadlineHopeless = 2002,
    WaitedTooLong = 2003,
    RouterStopping = 2004,
    NoEndpointAvailable = 2005,
    ShedForHigherTier = 2006,
    CallerLeft = 2007,
    RetryBudgetSpent = 2008,
    TooManyRequestsOpen = 2009,
    StreamVersionUnknown = 2010,
    EndpointUnreachable = 3001,
    EndpointRefused = 3002,
    EndpointBrokeBeforeAnswer = 3003,
    EndpointBrokeInAnswer = 3004,
    EndpointSilent = 3005,
    OutcomeUnknown = 3006,
    RequestQuarantined = 3007,
    UnknownSetting = 4001,
    WrongType = 4002,
    OutOfRange = 4003,
    MissingSetting = 4004,
    DuplicateName = 4005,
    DanglingReference = 4006,
    NotYaml = 4007,
    FileUnreadable = 4008,
    NoConfiguration = 4009,
    PlatformUnavailable = 5001,
    VersionConflict = 5002,
    ObjectNotFound = 5003,
    ObjectAlreadyExists = 5004,
    PlatformAnswerMalformed = 5005,
    ConfigurationTooOld = 5006,
    SchedulerUnreachable = 6001,
    ForeignCluster = 6002,
    ProtocolVersionMismatch = 6003,
    PeerMessageMalformed = 6004,
    InternalFault = 6005,
};

// Stable short name used in logs, counters and answers, for example "queue-full".
std::string_view resultCodeName(ResultCode code);

} // namespace monsoongrade::units

#endif // MONSOONGRADE_UNITS_RESULTCODE_H
