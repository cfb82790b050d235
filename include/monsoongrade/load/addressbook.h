#ifndef MONSOONGRADE_LOAD_ADDRESSBOOK_H
#define MONSOONGRADE_LOAD_ADDRESSBOOK_H

#include <monsoongrade/endpoints/endpointclient.h>
#include <monsoongrade/units/clock.h>

#include <mutex>
#include <string>
#include <vector>

namespace monsoongrade::load {

// The addresses that callers use: asked of the system, kept for as long as it says, then asked
// again. Thread-safe.
class AddressBook
{
public:
    AddressBook(endpoints::EndpointClient &client, std::vector<std::string> entry);

    // Asks now; blocks. Keeps the old addresses where nobody answers.
    void refresh();
    // True where the kept answer has run out.
    bool isStale() const;
    // An address for the number-th call; empty where none is known.
    std::string pick(std::size_t number) const;

private:
    endpoints::EndpointClient &client_;
    const std::vector<std::string> entry_;
    mutable std::mutex mutex_;
    std::vector<std::string> addresses_;
    units::TimePoint keepUntil_{};
};

} // namespace monsoongrade::load

#endif // MONSOONGRADE_LOAD_ADDRESSBOOK_H
