#include <monsoongrade/gateway/exchange.h>

#include <gateway/internal/httpstatus.h>

namespace monsoongrade::gateway {

// A client that names no attempt resumes a stream of which nothing is known.
bool Exchange::isResumption() const
{
    return route_->kind == routing::RouteKind::Stream
        && (!metadata_.lastEventId.empty() || !metadata_.resumes.isEmpty());
}

void Exchange::findStreamVersion()
{
    state_.streamVersions.find(
        {admission_.workspace, metadata_.resumes}, pool_,
        [self = shared_from_this()](std::optional<units::SoftwareVersion> version) {
            self->onStreamVersionFound(std::move(version));
        });
}

void Exchange::onStreamVersionFound(std::optional<units::SoftwareVersion> version)
{
    if (finished_)
        return;
    state_.log.write(observability::LogLevel::Info, "stream-resumed",
                     {{"request", metadata_.id.value()},
                      {"began-as", resumedRequest()},
                      {"pool", pool_.value()},
                      {"software", version ? version->value() : "unknown"}});
    if (!version) {
        refuse(internal::StatusUnavailable, units::ResultCode::StreamVersionUnknown, true);
        return;
    }
    query_.softwareVersion = std::move(version);
    startAttempt();
}

// From now on the stream may go on at this version only, here and at other hosts.
void Exchange::onFirstEvent()
{
    if (query_.softwareVersion)
        return;
    query_.softwareVersion = sentToVersion_;
    if (route_->resumable)
        state_.streamVersions.onBegan({admission_.workspace, metadata_.id}, pool_, sentToVersion_);
}

} // namespace monsoongrade::gateway
