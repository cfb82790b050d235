#ifndef MONSOONGRADE_SCALING_BASELINESTORE_H
#define MONSOONGRADE_SCALING_BASELINESTORE_H

#include <monsoongrade/units/ids.h>

#include <functional>

namespace monsoongrade::scaling {

// The size that the operator gave each pool, kept in the platform's store: a host that becomes the
// holder of the duty later sees endpoints that earlier holders ordered.
class BaselineStore
{
public:
    enum class Outcome {
        Stored,
        Missing,
        Unknown, // no answer, or none that shows it
    };
    // The size as the store holds it, with Stored.
    using Done = std::function<void(Outcome, int)>;

    virtual ~BaselineStore() = default;
    virtual void read(const units::PoolName &pool, Done done) = 0;
    // Writes the pool's size, or reads the one that is there.
    virtual void createOrRead(const units::PoolName &pool, int endpoints, Done done) = 0;
    // Replaces the pool's size.
    virtual void replace(const units::PoolName &pool, int endpoints, Done done) = 0;
};

} // namespace monsoongrade::scaling

#endif // MONSOONGRADE_SCALING_BASELINESTORE_H
