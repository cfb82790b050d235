#ifndef MONSOONGRADE_REQUESTS_FLOWSERVICES_H
#define MONSOONGRADE_REQUESTS_FLOWSERVICES_H

#include <monsoongrade/endpoints/endpointclient.h>
#include <monsoongrade/observability/metrics.h>
#include <monsoongrade/requests/decisionlog.h>
#include <monsoongrade/requests/endpointdirectory.h>
#include <monsoongrade/requests/retrybudget.h>
#include <monsoongrade/scheduling/slotsource.h>
#include <monsoongrade/timing/delayer.h>
#include <monsoongrade/units/clock.h>

namespace monsoongrade::requests {

// What every request flow of a router works with. All outlive the flows.
struct FlowServices
{
    const units::Clock &clock;
    scheduling::SlotSource &slots;
    endpoints::EndpointClient &client;
    const EndpointDirectory &directory;
    observability::Metrics &metrics;
    DecisionLog &decisions;
    RetryBudget &retries;
    timing::Delayer &delayer;
    units::DaemonId self;
};

} // namespace monsoongrade::requests

#endif // MONSOONGRADE_REQUESTS_FLOWSERVICES_H
