#ifndef MONSOONGRADE_DUTIES_USAGEREPORTSTORE_H
#define MONSOONGRADE_DUTIES_USAGEREPORTSTORE_H

#include <monsoongrade/duties/usagewindow.h>

#include <functional>
#include <optional>

namespace monsoongrade::duties {

// Usage reports in the platform's store. A report is written once, before it is sent, and never
// changes, so that a new lease holder sends the same one.
class UsageReportStore
{
public:
    // The report of the window as stored; nothing if that is not known.
    using Done = std::function<void(std::optional<UsageCounts>)>;

    virtual ~UsageReportStore() = default;
    // Creates the report of the window, or reads the existing one.
    virtual void createOrRead(WindowNumber window, const UsageCounts &counts, Done done) = 0;
    // Removes the report of a window that is too old to be reported.
    virtual void remove(WindowNumber window) = 0;
};

} // namespace monsoongrade::duties

#endif // MONSOONGRADE_DUTIES_USAGEREPORTSTORE_H
