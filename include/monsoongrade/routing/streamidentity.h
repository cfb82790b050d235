#ifndef MONSOONGRADE_ROUTING_STREAMIDENTITY_H
#define MONSOONGRADE_ROUTING_STREAMIDENTITY_H

#include <monsoongrade/units/ids.h>

#include <tuple>

namespace monsoongrade::routing {

// A stream over all attempts of its client to get the whole of it. The workspace is included so
// that a client cannot name streams of other workspaces.
struct StreamIdentity
{
    units::WorkspaceName workspace; // empty on public routes
    units::RequestId request; // the attempt that brought the first event

    friend bool operator<(const StreamIdentity &a, const StreamIdentity &b)
    {
        return std::tie(a.request, a.workspace) < std::tie(b.request, b.workspace);
    }
};

} // namespace monsoongrade::routing

#endif // MONSOONGRADE_ROUTING_STREAMIDENTITY_H
