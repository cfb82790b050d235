#ifndef MONSOONGRADE_DUTIES_USAGEREPORTSTORE_H
#define MONSOONGRADE_DUTIES_USAGEREPORTSTORE_H

#include <monsoongrade/duties/usagewindow.h>

#include <functional>
#include <optional>

namespace monsoongrade::duties {

// Reports in the platform's store. A report is written there once, before it is sent, and never
// changes: a second holder sends the same one.
class UsageReportStore
{
public:
    // The report of the window as the store holds it; nothing if that is not known.
    using Done = std::function<void(std::optional<UsageCounts>)>;

    virtual ~UsageReportStore() = default;
    // Creates the report of the window, or reads the one that is there.
    virtual void createOrRead(WindowNumber window, const UsageCounts &counts, Done done) = 0;
    // Removes the report of a window so old that no host would report it.
    virtual void remove(WindowNumber window) = 0;
};

} // namespace monsoongrade::duties

#endif // MONSOONGRADE_DUTIES_USAGEREPORTSTORE_H
