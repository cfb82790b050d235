#ifndef MONSOONGRADE_GATEWAY_CONNECTIONSHARES_H
#define MONSOONGRADE_GATEWAY_CONNECTIONSHARES_H

#include <cstddef>
#include <cstdint>

namespace monsoongrade::gateway {

// How many connections each server of a host accepts. What is left of the descriptors is for
// connections to endpoints, other hosts and the store.
struct ConnectionShares
{
    std::size_t callers = 0;
    std::size_t refusedCallers = 0; // beyond callers, only to refuse their requests
    std::size_t otherHosts = 0; // that pass on requests
    std::size_t directory = 0;
    std::size_t page = 0; // readiness and metrics, each
};

// Divides the descriptors that the process may open. Callers get half of them: an idle connection
// takes one descriptor, and far fewer requests run at a time than connections are kept open.
ConnectionShares divideDescriptors(std::int64_t maxDescriptors);

} // namespace monsoongrade::gateway

#endif // MONSOONGRADE_GATEWAY_CONNECTIONSHARES_H
