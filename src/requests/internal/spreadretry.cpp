#include <requests/internal/spreadretry.h>

#include <functional>

namespace monsoongrade::requests::internal {

namespace {

constexpr std::size_t Steps = 1024;
constexpr int LongestInShortest = 4;

} // namespace

units::Duration spreadRetry(units::Duration shortest, const units::RequestId &request)
{
    const auto step = static_cast<int>(std::hash<units::RequestId>()(request) % Steps);
    return shortest + shortest * (LongestInShortest - 1) * step / static_cast<int>(Steps);
}

} // namespace monsoongrade::requests::internal
