#ifndef MONSOONGRADE_GATEWAY_INTERNAL_RESPONSEBUFFERS_H
#define MONSOONGRADE_GATEWAY_INTERNAL_RESPONSEBUFFERS_H

#include <monsoongrade/httpio/channel.h>
#include <monsoongrade/httpio/responsewriter.h>

#include <cstddef>
#include <memory>

namespace monsoongrade::gateway::internal {

// A plain response up to this size is buffered until it is complete, so that one which can't be
// used can be replaced by that of another attempt. Responses have about 1 KB; larger ones are
// passed on as they arrive, to limit memory use.
constexpr std::size_t MaxCollectedBytes = 256 * 1024;

// Limits the memory used for a slow client: stops reading from the channel while too much of the
// response that it carries waits to be sent.
void throttleIfBacklogged(httpio::ResponseWriter &reply,
                          const std::shared_ptr<httpio::Channel> &channel);

} // namespace monsoongrade::gateway::internal

#endif // MONSOONGRADE_GATEWAY_INTERNAL_RESPONSEBUFFERS_H
