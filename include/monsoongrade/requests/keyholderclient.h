#ifndef MONSOONGRADE_REQUESTS_KEYHOLDERCLIENT_H
#define MONSOONGRADE_REQUESTS_KEYHOLDERCLIENT_H

#include <monsoongrade/endpoints/endpointrequest.h>
#include <monsoongrade/units/ids.h>

#include <functional>
#include <string>

namespace monsoongrade::requests {

// Asks a router what became of a key whose claim it holds, or that it handed out.
struct HolderQuestion
{
    units::DaemonId holder;
    units::WorkspaceName workspace;
    units::IdempotencyKey key;
    std::string fingerprint;
};

struct HolderReply
{
    enum class Kind {
        // The whole answer follows, as the endpoint gave it.
        Answered,
        // The run broke off; whether it had its effect is unknown.
        Broken,
        // The key stands for a request with another fingerprint.
        OtherRequest,
        // Nothing ran and the holder will not run it; the claim may be taken over.
        GivenUp,
        // The key was handed out by this router and not used there yet.
        NotUsed,
        // The holder no longer knows what became of it.
        Forgotten,
        // That life of the router is gone, or it did not reply in time.
        Unreachable,
    };
    Kind kind = Kind::Unreachable;
    int status = 0;
    endpoints::Headers headers;
    std::string body;
};

// The way to the holders of claims. Thread-safe.
class KeyHolderClient
{
public:
    using ReplyHandler = std::function<void(const HolderReply &)>;

    virtual ~KeyHolderClient() = default;
    // Replies once, not from within ask(); waits for a running answer up to a limit of its own.
    virtual void ask(const HolderQuestion &question, ReplyHandler reply) = 0;
};

} // namespace monsoongrade::requests

#endif // MONSOONGRADE_REQUESTS_KEYHOLDERCLIENT_H
