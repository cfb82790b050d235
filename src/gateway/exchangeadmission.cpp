#include <monsoongrade/gateway/exchange.h>

#include <gateway/internal/httpstatus.h>

#include <monsoongrade/units/jitter.h>

#include <algorithm>

namespace monsoongrade::gateway {

namespace {

using namespace internal;

// For requests without a deadline; the route's timeout is usually shorter.
constexpr auto DefaultTimeLeft = std::chrono::seconds(60);

int statusFor(units::ResultCode refusedAdmission)
{
    switch (refusedAdmission) {
    case units::ResultCode::NoRouteForRequest:
        return StatusNotFound;
    case units::ResultCode::UnknownKey:
        return StatusUnauthorized;
    default:
        return StatusUnavailable;
    }
}

} // namespace

void Exchange::start(GatewayState &state, httpio::ServerRequest request,
                     std::shared_ptr<httpio::ResponseWriter> reply, RequestOrigin origin)
{
    std::make_shared<Exchange>(state, std::move(request), std::move(reply), origin)->run();
}

Exchange::Exchange(GatewayState &state, httpio::ServerRequest request,
                   std::shared_ptr<httpio::ResponseWriter> reply, RequestOrigin origin)
    : state_(state)
    , request_(std::move(request))
    , reply_(std::move(reply))
    , origin_(origin)
    , heldBytes_(state.responseBytes)
{
}

Exchange::~Exchange() = default;

void Exchange::run()
{
    state_.log.metrics.add("monsoongrade_gateway_requests_accepted_total");
    state_.openExchanges.insert(shared_from_this());
    metadata_ = state_.headerCodec.decodeRequest(request_.head.headers);
    deadline_ = request_.receivedAt + metadata_.timeLeft.value_or(DefaultTimeLeft);
    reply_->onClientDisconnected([self = shared_from_this()] { self->onClientDisconnected(); });
    admit();
}

void Exchange::admit()
{
    if (finished_)
        return;
    if (state_.startupGate.isClosed()) {
        state_.startupGate.callWhenOpen([self = shared_from_this()] { self->admit(); });
        return;
    }
    table_ = state_.table;
    admission_ = routing::admit(table_.get(), state_.lease.isFresh(state_.timers.now()), metadata_,
                                request_.head.target);
    if (admission_.code != units::ResultCode::Ok) {
        const int status = statusFor(admission_.code);
        refuse(status, admission_.code, status == StatusUnavailable);
        return;
    }
    route_ = admission_.route;
    if (quarantineRemaining()) {
        refuse(StatusUnavailable, units::ResultCode::RequestQuarantined, true);
        return;
    }
    pool_ = routing::choosePool(*route_, units::jitterOf(metadata_.id));
    poolSettings_ = table_->pool(pool_);
    query_ = routing::placementQuery(metadata_, *route_, pool_, poolSettings_, admission_.tier,
                                     state_.ownDomain);
    query_.workspace = admission_.workspace;
    query_.returnKey = routing::returnKeyOf(metadata_, request_.head.target);
    query_.mayWait = true;
    deadline_ = std::min(deadline_, request_.receivedAt + route_->timeout);
    if (state_.plannedStop && state_.plannedStop->shouldRefuse(deadline_, state_.timers.now())) {
        refuse(StatusUnavailable, units::ResultCode::RouterStopping, true);
        return;
    }
    const auto self = shared_from_this();
    deadlineTimer_ = state_.timers.at(deadline_, [self] { self->onDeadline(); });
    if (isResumption())
        findStreamVersion();
    else
        startAttempt();
}

} // namespace monsoongrade::gateway
