#ifndef MONSOONGRADE_SRC_RPC_INTERNAL_SESSIONUSES_H
#define MONSOONGRADE_SRC_RPC_INTERNAL_SESSIONUSES_H

#include <monsoongrade/units/ids.h>

#include <map>

namespace monsoongrade::rpc::internal {

// How many slots each session holds or waits for. Kept as counts, since it is asked about every
// quiet session many times a second.
class SessionUses
{
public:
    void add(const units::DaemonId &session) { ++uses_[session]; }
    void remove(const units::DaemonId &session)
    {
        const auto found = uses_.find(session);
        if (found != uses_.end() && --found->second == 0)
            uses_.erase(found);
    }
    bool has(const units::DaemonId &session) const { return uses_.count(session) > 0; }

private:
    std::map<units::DaemonId, std::size_t> uses_;
};

} // namespace monsoongrade::rpc::internal

#endif // MONSOONGRADE_SRC_RPC_INTERNAL_SESSIONUSES_H
