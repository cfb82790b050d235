#ifndef MONSOONGRADE_LOAD_INTERNAL_PLANNEDCALL_H
#define MONSOONGRADE_LOAD_INTERNAL_PLANNEDCALL_H

#include <monsoongrade/endpoints/endpointclient.h>
#include <monsoongrade/load/loadresult.h>
#include <monsoongrade/load/loadscript.h>

#include <vector>

namespace monsoongrade::load::internal {

// One planned request, and how far it has got.
struct PlannedCall
{
    const LoadClass *loadClass = nullptr;
    std::size_t number = 0;
    // Which of its class's callers sends it.
    std::size_t caller = 0;
    // 0 for the first sending of a key, above for its repeats.
    std::size_t repeat = 0;
    std::string key;
    std::string prompt;
    std::int64_t tokens = 0;
    units::Duration start{};
    units::TimePoint firstSent{};
    endpoints::CallId call = 0;
    int errorRepeats = 0;
    bool ended = false;
    LoadResult result;
};

// The requests of a script, the same for the same seed.
std::vector<PlannedCall> planCalls(const LoadScript &script);

// The body that a call sends.
std::string bodyOf(const PlannedCall &call);

} // namespace monsoongrade::load::internal

#endif // MONSOONGRADE_LOAD_INTERNAL_PLANNEDCALL_H
