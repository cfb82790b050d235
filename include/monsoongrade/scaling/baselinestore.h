#ifndef MONSOONGRADE_SCALING_BASELINESTORE_H
#define MONSOONGRADE_SCALING_BASELINESTORE_H

#include <monsoongrade/units/ids.h>

#include <functional>

namespace monsoongrade::scaling {

// The size that the operator gave each pool, kept in the platform's store: a later lease holder
// can't derive it, as it also sees the endpoints that earlier holders ordered.
class BaselineStore
{
public:
    enum class Outcome {
        Stored,
        Missing,
        Unknown, // no answer, or one without the size
    };
    // Receives the stored size, with Stored.
    using Done = std::function<void(Outcome, int)>;

    virtual ~BaselineStore() = default;
    virtual void read(const units::PoolName &pool, Done done) = 0;
    // Creates the pool's size, or reads the existing one.
    virtual void createOrRead(const units::PoolName &pool, int endpoints, Done done) = 0;
    virtual void replace(const units::PoolName &pool, int endpoints, Done done) = 0;
};

} // namespace monsoongrade::scaling

#endif // MONSOONGRADE_SCALING_BASELINESTORE_H
