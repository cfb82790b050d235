#include <monsoongrade/routing/admissionwindow.h>

#include <algorithm>
#include <cmath>

namespace monsoongrade::routing {

namespace {

// Rejections are spaced out by more than their number a second allows, as requests that are under
// way arrive at uneven intervals.
constexpr double RejectionSpacing = 1.2;
// After a rejection by an endpoint that survives none. In this time it has run all that it had.
constexpr std::chrono::duration<double> MaxPause = std::chrono::seconds(5);
// Share of the rejections that the host may cause; other hosts may place requests as well.
constexpr double UsedShareOfRejections = 0.5;

} // namespace

std::chrono::duration<double> AdmissionWindow::pauseAfterRejection(RequestsPerSecond rejections)
{
    if (rejections <= 0)
        return MaxPause;
    return std::min(std::chrono::duration<double>(RejectionSpacing / rejections), MaxPause);
}

void AdmissionWindow::onAccepted(int open)
{
    accepted_ = std::max(accepted_, open);
}

void AdmissionWindow::onRejected(int open, RequestsPerSecond maxRejections, units::TimePoint now)
{
    accepted_ = std::min(accepted_, open);
    const auto inUnits = [](std::chrono::duration<double> time) {
        return std::chrono::duration_cast<units::Duration>(time);
    };
    // Several requests may be rejected at the same time.
    growsFrom_ = std::min(std::max(growsFrom_, now) + inUnits(pauseAfterRejection(maxRejections)),
                          now + inUnits(MaxPause));
}

bool AdmissionWindow::admits(int open, RequestsPerSecond maxRejections, units::TimePoint now) const
{
    if (open < accepted_)
        return true;
    const double growth = std::max(1.0, std::floor(maxRejections * UsedShareOfRejections));
    return now >= growsFrom_ && open < accepted_ + growth;
}

} // namespace monsoongrade::routing
