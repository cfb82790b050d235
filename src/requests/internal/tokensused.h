#ifndef MONSOONGRADE_REQUESTS_INTERNAL_TOKENSUSED_H
#define MONSOONGRADE_REQUESTS_INTERNAL_TOKENSUSED_H

#include <cstdint>
#include <string>

namespace monsoongrade::requests::internal {

// Tokens of a completions answer that was not streamed, from its "usage"; 0 where it says none.
std::int64_t tokensOfWholeAnswer(const std::string &body);

} // namespace monsoongrade::requests::internal

#endif // MONSOONGRADE_REQUESTS_INTERNAL_TOKENSUSED_H
