#include <monsoongrade/units/jitter.h>

#include <functional>

namespace monsoongrade::units {

double jitterOf(const RequestId &request)
{
    constexpr std::size_t Steps = 1024;
    return static_cast<double>(std::hash<RequestId>()(request) % Steps) / Steps;
}

} // namespace monsoongrade::units
