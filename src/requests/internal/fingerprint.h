#ifndef MONSOONGRADE_SRC_REQUESTS_INTERNAL_FINGERPRINT_H
#define MONSOONGRADE_SRC_REQUESTS_INTERNAL_FINGERPRINT_H

#include <monsoongrade/requests/classifiedrequest.h>

#include <string>

namespace monsoongrade::requests::internal {

// Tells whether two requests with one key are the same: method, path, query and body. The same
// on all routers and in all their lives.
std::string fingerprintOf(const ClassifiedRequest &request);

} // namespace monsoongrade::requests::internal

#endif // MONSOONGRADE_SRC_REQUESTS_INTERNAL_FINGERPRINT_H
