#ifndef MONSOONGRADE_REQUESTS_REQUESTACCOUNT_H
#define MONSOONGRADE_REQUESTS_REQUESTACCOUNT_H

#include <monsoongrade/requests/classifiedrequest.h>
#include <monsoongrade/requests/flowservices.h>

#include <memory>
#include <optional>
#include <string>

namespace monsoongrade::requests {

// Counts and records what became of one classified request, so that the sums close for each
// class: accepted = completed + refused + failed + in flight. accept() is called once, then
// exactly one of complete(), refuse() and fail().
class RequestAccount
{
public:
    // The ticket stands for the request among those open at this router; it is given back at
    // the end.
    RequestAccount(const FlowServices &services, const ClassifiedRequest &request,
                   std::shared_ptr<void> ticket);

    void accept();
    // The answer's first byte has arrived; later calls do nothing.
    void firstToken();
    void complete(const std::string &detail);
    // Ended without a run.
    void refuse(units::ResultCode code, const std::string &detail);
    // Ended after it ran or may have run.
    void fail(units::ResultCode code, const std::string &detail);

    // One step on the way, for the decision log and the log.
    void record(DecisionKind kind, units::ResultCode code, const std::string &detail) const;
    units::Duration age() const { return services_->clock.now() - arrived_; }
    const units::RequestId &id() const { return id_; }
    std::string classLabel() const;

private:
    void end(const std::string &metric, units::ResultCode code);

    const FlowServices *services_;
    units::RequestId id_;
    units::ClassName className_;
    units::WorkspaceName workspace_;
    units::Duration firstTokenTarget_;
    units::Duration wholeAnswerTarget_;
    units::TimePoint arrived_;
    std::optional<units::Duration> firstTokenAge_;
    std::shared_ptr<void> ticket_;
};

} // namespace monsoongrade::requests

#endif // MONSOONGRADE_REQUESTS_REQUESTACCOUNT_H
