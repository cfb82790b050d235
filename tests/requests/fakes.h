#ifndef MONSOONGRADE_TESTS_REQUESTS_FAKES_H
#define MONSOONGRADE_TESTS_REQUESTS_FAKES_H

#include <monsoongrade/endpoints/endpointclient.h>
#include <monsoongrade/scheduling/slotsource.h>
#include <monsoongrade/timing/delayer.h>

#include <map>
#include <string>
#include <vector>

namespace monsoongrade::requests {

// Keeps asks until the test decides them, and counts how often each grant was given back. A
// cancelled ask may still be granted, as when the two cross on the way.
class FakeSlotSource : public scheduling::SlotSource
{
public:
    struct Ask
    {
        scheduling::SlotAsk ask;
        std::shared_ptr<scheduling::SlotListener> listener;
    };

    void ask(const scheduling::SlotAsk &ask,
             std::shared_ptr<scheduling::SlotListener> listener) override
    {
        asks.push_back({ask, std::move(listener)});
    }
    void cancel(const scheduling::SlotAsk &) override { }
    void release(const scheduling::SlotGrant &grant, const scheduling::SlotRelease &) override
    {
        ++released[grant.id.value()];
    }

    void grant(std::size_t index, const std::string &endpoint)
    {
        const Ask taken = take(index);
        ++granted;
        taken.listener->slotGranted({units::GrantId(granted), taken.ask.request, taken.ask.router,
                                     units::EndpointId(endpoint)});
    }
    void refuse(std::size_t index)
    {
        const Ask taken = take(index);
        taken.listener->slotRefused(
            {taken.ask.request, units::ResultCode::QueueFull, std::chrono::seconds(3)});
    }

    std::vector<Ask> asks;
    std::uint64_t granted = 0;
    std::map<std::uint64_t, int> released;

private:
    Ask take(std::size_t index)
    {
        Ask taken = asks[index];
        asks.erase(asks.begin() + static_cast<std::ptrdiff_t>(index));
        return taken;
    }
};

// Keeps calls; the test plays their endpoints. Events of a cancelled or ended call can still be
// given, as when they were on their way.
class FakeEndpointClient : public endpoints::EndpointClient
{
public:
    struct Call
    {
        endpoints::EndpointRequest request;
        std::shared_ptr<endpoints::EndpointListener> listener;
        bool cancelled = false;
        bool paused = false;
        // The test's endpoint runs it.
        bool begun = false;

        std::string header(const std::string &name) const
        {
            for (const auto &[key, value] : request.headers) {
                if (key == name)
                    return value;
            }
            return {};
        }
    };

    endpoints::CallId start(endpoints::EndpointRequest request,
                            std::shared_ptr<endpoints::EndpointListener> listener) override
    {
        calls.push_back({std::move(request), std::move(listener)});
        return calls.size();
    }
    void resume(endpoints::CallId call) override { calls[call - 1].paused = false; }
    void cancel(endpoints::CallId call) override { calls[call - 1].cancelled = true; }

    std::vector<Call> calls;
};

// Runs delayed functions when the test says so.
class ManualDelayer : public timing::Delayer
{
public:
    void after(units::Duration, std::function<void()> function) override
    {
        waiting.push_back(std::move(function));
    }
    void runAll()
    {
        for (const auto &function : std::exchange(waiting, {}))
            function();
    }

    std::vector<std::function<void()>> waiting;
};

} // namespace monsoongrade::requests

#endif // MONSOONGRADE_TESTS_REQUESTS_FAKES_H
