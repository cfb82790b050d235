#ifndef MONSOONGRADE_GATEWAY_INTERNAL_RESPONSEBUFFERS_H
#define MONSOONGRADE_GATEWAY_INTERNAL_RESPONSEBUFFERS_H

#include <monsoongrade/httpio/channel.h>
#include <monsoongrade/httpio/responsewriter.h>
#include <monsoongrade/units/bytebudget.h>

#include <cstddef>
#include <memory>

namespace monsoongrade::gateway::internal {

// How many bytes of a plain response are buffered until it is complete, so that one which can't be
// used can be replaced by that of another attempt. Larger ones are passed on as they arrive, if
// they can be. responses: the bytes of all responses that the host holds.
std::size_t maxCollectedBytes(const units::ByteBudget &responses);

// How many bytes of a response that can't be used are read and discarded before the connection is
// closed.
constexpr std::size_t MaxSkippedBytes = 256 * 1024;

// Limits the memory used for a slow client: stops reading from the channel while too much of the
// response that it carries waits to be sent.
void throttleIfBacklogged(httpio::ResponseWriter &reply,
                          const std::shared_ptr<httpio::Channel> &channel,
                          const units::ByteBudget &responses);

} // namespace monsoongrade::gateway::internal

#endif // MONSOONGRADE_GATEWAY_INTERNAL_RESPONSEBUFFERS_H
