#include <monsoongrade/requests/requestaccount.h>

#include <monsoongrade/observability/log.h>

namespace monsoongrade::requests {

using units::ResultCode;

RequestAccount::RequestAccount(const FlowServices &services, const ClassifiedRequest &request,
                               std::shared_ptr<void> ticket)
    : services_(&services)
    , id_(request.id)
    , className_(request.classConfig.policy.name)
    , workspace_(request.workspace)
    , firstTokenTarget_(request.classConfig.policy.firstTokenTarget)
    , wholeAnswerTarget_(request.classConfig.policy.wholeAnswerTarget)
    , arrived_(services.clock.now())
    , ticket_(std::move(ticket))
{
}

void RequestAccount::accept()
{
    services_->metrics.add("monsoongrade_requests_accepted_total", classLabel());
    services_->retries.earn();
    record(DecisionKind::Classified, ResultCode::Ok,
           className_.value() + " of " + workspace_.value());
}

void RequestAccount::firstToken()
{
    if (firstTokenAge_)
        return;
    firstTokenAge_ = age();
    services_->metrics.observe("monsoongrade_first_token_seconds", classLabel(), *firstTokenAge_);
}

void RequestAccount::complete(const std::string &detail)
{
    record(DecisionKind::Completed, ResultCode::Ok, detail);
    if (firstTokenAge_.value_or(age()) <= firstTokenTarget_ && age() <= wholeAnswerTarget_)
        services_->metrics.add("monsoongrade_requests_attained_total", classLabel());
    end("monsoongrade_requests_completed_total", ResultCode::Ok);
}

void RequestAccount::refuse(ResultCode code, const std::string &detail)
{
    record(DecisionKind::Refused, code, detail);
    end("monsoongrade_requests_refused_total", code);
}

void RequestAccount::fail(ResultCode code, const std::string &detail)
{
    record(DecisionKind::Failed, code, detail);
    end("monsoongrade_requests_failed_total", code);
}

void RequestAccount::record(DecisionKind kind, ResultCode code, const std::string &detail) const
{
    services_->decisions.add({id_, services_->clock.now(), kind, code, detail});
    const auto level = kind == DecisionKind::Refused || kind == DecisionKind::Failed
        ? observability::LogLevel::Info
        : observability::LogLevel::Debug;
    observability::log(level, decisionKindName(kind),
                       {{"request", id_.value()},
                        {"class", className_.value()},
                        {"workspace", workspace_.value()},
                        {"code", static_cast<int>(code)},
                        {"detail", detail}});
}

std::string RequestAccount::classLabel() const
{
    return observability::label("class", className_.value());
}

void RequestAccount::end(const std::string &metric, ResultCode code)
{
    std::string labels = classLabel();
    if (code != ResultCode::Ok)
        labels += "," + observability::label("reason", std::string(resultCodeName(code)));
    services_->metrics.add(metric, labels);
    services_->metrics.observe("monsoongrade_request_seconds", classLabel(), age());
    ticket_.reset();
}

} // namespace monsoongrade::requests
