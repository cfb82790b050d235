#ifndef MONSOONGRADE_SRC_REQUESTS_INTERNAL_OWNHEADERS_H
#define MONSOONGRADE_SRC_REQUESTS_INTERNAL_OWNHEADERS_H

#include <string>

namespace monsoongrade::requests::internal {

// True for a header, in lower case, that only the router sets, whichever way it goes. A caller's
// own "priority" would let its request overtake higher tiers inside the engine, its own
// "resume-offset" would leave out the beginning of its answer, and an endpoint's own
// "monsoongrade-run-state" would be taken for the router's word on whether the request ran.
bool isOwnHeader(const std::string &name);

} // namespace monsoongrade::requests::internal

#endif // MONSOONGRADE_SRC_REQUESTS_INTERNAL_OWNHEADERS_H
