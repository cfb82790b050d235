#ifndef MONSOONGRADE_PROGRAMS_SCHEDULER_OPERATORPAGE_H
#define MONSOONGRADE_PROGRAMS_SCHEDULER_OPERATORPAGE_H

#include <monsoongrade/http/httpserver.h>
#include <monsoongrade/observability/metrics.h>

#include <atomic>

// What operators read from a scheduler: GET /metrics, /healthz (the process runs) and /readyz
// (it is not about to stop).
class OperatorPage
{
public:
    explicit OperatorPage(const monsoongrade::observability::Metrics &metrics)
        : metrics_(metrics)
    {
    }

    void startLeaving() { leaving_ = true; }
    void handle(const monsoongrade::http::HttpRequest &request,
                monsoongrade::http::HttpResponder &responder) const;

private:
    const monsoongrade::observability::Metrics &metrics_;
    std::atomic<bool> leaving_{false};
};

#endif // MONSOONGRADE_PROGRAMS_SCHEDULER_OPERATORPAGE_H
