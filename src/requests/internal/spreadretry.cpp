#include <requests/internal/spreadretry.h>

#include <monsoongrade/units/jitter.h>

namespace monsoongrade::requests::internal {

namespace {

constexpr double MaxStretch = 4;

} // namespace

units::Duration spreadRetry(units::Duration shortest, const units::RequestId &request)
{
    const double factor = 1 + (MaxStretch - 1) * units::jitterOf(request);
    return std::chrono::duration_cast<units::Duration>(shortest * factor);
}

} // namespace monsoongrade::requests::internal
