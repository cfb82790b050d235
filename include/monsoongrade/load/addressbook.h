#ifndef MONSOONGRADE_LOAD_ADDRESSBOOK_H
#define MONSOONGRADE_LOAD_ADDRESSBOOK_H

#include <monsoongrade/endpoints/endpointclient.h>
#include <monsoongrade/units/clock.h>

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace monsoongrade::load {

// The addresses that one caller uses: asked of the system, kept for as long as it says, then
// asked again before the next request. Thread-safe; never blocks.
class AddressBook : public std::enable_shared_from_this<AddressBook>
{
public:
    using Receiver = std::function<void(const std::string &address)>;

    // Without asking, the entry addresses are used for ever.
    AddressBook(endpoints::EndpointClient &client, std::vector<std::string> entry, bool asks);

    // Hands over the place-th of the addresses, at once or, where the kept ones have run out,
    // after asking. Where nobody answers, the entry addresses are used for a second.
    void pick(std::size_t place, const Receiver &receiver);

private:
    struct Waiting
    {
        std::size_t place = 0;
        Receiver receiver;
    };

    void ask(std::size_t candidate);
    void answered(std::size_t candidate, int status, const std::string &body,
                  units::TimePoint asked);
    void settle(std::vector<std::string> addresses, units::TimePoint keepUntil);

    endpoints::EndpointClient &client_;
    const std::vector<std::string> entry_;
    const bool asks_;
    std::mutex mutex_;
    std::vector<std::string> candidates_;
    std::vector<std::string> addresses_;
    std::vector<Waiting> waiting_;
    units::TimePoint keepUntil_{};
};

} // namespace monsoongrade::load

#endif // MONSOONGRADE_LOAD_ADDRESSBOOK_H
