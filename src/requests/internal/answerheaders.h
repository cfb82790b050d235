#ifndef MONSOONGRADE_SRC_REQUESTS_INTERNAL_ANSWERHEADERS_H
#define MONSOONGRADE_SRC_REQUESTS_INTERNAL_ANSWERHEADERS_H

#include <monsoongrade/endpoints/endpointrequest.h>
#include <monsoongrade/http/httprequest.h>
#include <monsoongrade/units/ids.h>

#include <string>

namespace monsoongrade::requests::internal {

// Value of the first header of that lower-case name, or an empty string.
std::string valueOf(const endpoints::Headers &headers, const std::string &name);

bool isEventStream(const endpoints::Headers &headers);

// False where the answer's length shows neither in a count nor in chunks: it then ends with the
// connection, and a crashed endpoint's half answer looks like a whole one.
bool hasKnownEnd(int status, const std::string &method, const endpoints::Headers &headers);

// What of an endpoint's headers the caller gets.
http::Headers passedBack(const endpoints::Headers &headers, const units::RequestId &id);

} // namespace monsoongrade::requests::internal

#endif // MONSOONGRADE_SRC_REQUESTS_INTERNAL_ANSWERHEADERS_H
