#ifndef MONSOONGRADE_TESTS_REQUESTS_UNREACHABLEHOLDERS_H
#define MONSOONGRADE_TESTS_REQUESTS_UNREACHABLEHOLDERS_H

#include <monsoongrade/requests/keyholderclient.h>
#include <monsoongrade/timing/delayer.h>

namespace monsoongrade::requests {

// Finds every holder unreachable: callers learn that the outcome is unknown at this router and go
// to the one that they used first.
class UnreachableHolders : public KeyHolderClient
{
public:
    explicit UnreachableHolders(timing::Delayer &delayer)
        : delayer_(delayer)
    {
    }

    void ask(const HolderQuestion &, ReplyHandler reply) override
    {
        delayer_.after({}, [reply = std::move(reply)] { reply({}); });
    }

private:
    timing::Delayer &delayer_;
};

} // namespace monsoongrade::requests

#endif // MONSOONGRADE_TESTS_REQUESTS_UNREACHABLEHOLDERS_H
