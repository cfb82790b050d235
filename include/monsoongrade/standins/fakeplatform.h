#ifndef MONSOONGRADE_STANDINS_FAKEPLATFORM_H
#define MONSOONGRADE_STANDINS_FAKEPLATFORM_H

#include <monsoongrade/http/httpresponder.h>

#include <memory>

namespace monsoongrade::standins {

// Stands in for the platform: an object API with versions, conditional updates and watches, and
// a lagging host list. Switched over HTTP at run time; counts its calls by kind.
//
//   GET|PUT|DELETE /v1/objects/NAME   PUT: If-None-Match: *; PUT, DELETE: If-Match: VERSION
//   GET  /v1/list?prefix=P
//   GET  /v1/watch/NAME?above=VERSION&wait_ms=N
//   GET  /v1/hosts
//   PUT  /admin/hosts      {"hosts":[{name,address,failure_domain,role,state}]}
//   PUT  /admin/switches   {"outage":bool,"delay_ms":n,"lose_replies":n,"list_lag_ms":n,
//                           "stale_reads":n}
//        lose_replies: the next n writes take effect but are not answered; stale_reads: the next
//        n reads of an object that was overwritten answer what was there before
//   GET  /admin/calls      calls by kind since the start, and the most within one second
class FakePlatform
{
public:
    FakePlatform();
    ~FakePlatform();

    void handle(const http::HttpRequest &request, std::shared_ptr<http::HttpResponder> responder);

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace monsoongrade::standins

#endif // MONSOONGRADE_STANDINS_FAKEPLATFORM_H
