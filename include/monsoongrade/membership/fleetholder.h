#ifndef MONSOONGRADE_MEMBERSHIP_FLEETHOLDER_H
#define MONSOONGRADE_MEMBERSHIP_FLEETHOLDER_H

#include <monsoongrade/membership/fleetview.h>

#include <functional>
#include <memory>
#include <mutex>
#include <vector>

namespace monsoongrade::membership {

// The fleet view in force in this daemon. Thread-safe.
class FleetHolder
{
public:
    using Snapshot = std::shared_ptr<const FleetView>;
    using Listener = std::function<void(const Snapshot &)>;

    // Never null.
    Snapshot current() const;
    void publish(FleetView view);
    void addListener(Listener listener);

private:
    mutable std::mutex mutex_;
    Snapshot current_ = std::make_shared<const FleetView>();
    std::vector<Listener> listeners_;
};

} // namespace monsoongrade::membership

#endif // MONSOONGRADE_MEMBERSHIP_FLEETHOLDER_H
