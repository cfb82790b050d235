#ifndef MONSOONGRADE_SCALING_BASELINESTORE_H
#define MONSOONGRADE_SCALING_BASELINESTORE_H

#include <monsoongrade/units/ids.h>

#include <functional>
#include <optional>

namespace monsoongrade::scaling {

// The size that the operator gave each pool, kept in the platform's store: a host that becomes the
// holder of the duty later sees endpoints that earlier holders ordered.
class BaselineStore
{
public:
    // The size as the store holds it; nothing if that is not known.
    using Done = std::function<void(std::optional<int>)>;

    virtual ~BaselineStore() = default;
    // Writes the pool's size, or reads the one that is there.
    virtual void fix(const units::PoolName &pool, int endpoints, Done done) = 0;
};

} // namespace monsoongrade::scaling

#endif // MONSOONGRADE_SCALING_BASELINESTORE_H
