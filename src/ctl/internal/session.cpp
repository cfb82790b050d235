#include <ctl/internal/session.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <random>
#include <thread>

namespace monsoongrade::ctl::internal {

namespace {

using nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr auto AskAgainAfter = std::chrono::milliseconds(250);

// Names of the hosts that do not have the generation yet, with what they say instead.
std::vector<std::string> hostsBehind(const std::vector<HostPage> &pages,
                                     units::Generation generation)
{
    std::vector<std::string> behind;
    for (const HostPage &page : pages) {
        const json status = json::parse(page.body, nullptr, false);
        const auto has = status.is_object() ? status.value("generation", std::uint64_t(0)) : 0;
        if (page.body.empty())
            behind.push_back(page.host.name.value() + " (" + page.fault + ")");
        else if (has < generation.value())
            behind.push_back(page.host.name.value() + " (has " + std::to_string(has) + ")");
    }
    return behind;
}

units::Result<int> waitUntilInForce(Session &session, units::Generation generation, int waitSeconds,
                                    const Options &options)
{
    const bool talk = options.output == OutputFormat::Text;
    const auto until = Clock::now() + std::chrono::seconds(waitSeconds);
    std::size_t lastBehind = 0;
    for (;;) {
        BOOST_LEAF_AUTO(pages, session.fleet.pages("/operator/status"));
        // Asking again would not help, and the change is accepted all the same.
        if (std::any_of(pages.begin(), pages.end(),
                        [](const HostPage &page) { return page.isTokenRefused; })) {
            std::cerr << "accepted, but can't tell where it is in force: the operator token was "
                         "refused; give it by --token\n";
            return ExitBehind;
        }
        const std::vector<std::string> behind = hostsBehind(pages, generation);
        if (behind.empty()) {
            if (talk)
                std::cout << "in force on all " << pages.size() << " entry hosts\n";
            return ExitOk;
        }
        if (talk && behind.size() != lastBehind)
            std::cout << pages.size() - behind.size() << " of " << pages.size()
                      << " entry hosts have it\n";
        lastBehind = behind.size();
        if (Clock::now() >= until) {
            for (const std::string &host : behind)
                std::cerr << "behind: " << host << "\n";
            return ExitBehind;
        }
        std::this_thread::sleep_for(AskAgainAfter);
    }
}

} // namespace

std::string newChangeId()
{
    std::random_device random;
    return std::to_string(random()) + "-" + std::to_string(random());
}

units::Result<int> reportAndWait(Session &session,
                                 const configuration::ConfigurationStore::Applied &applied,
                                 int waitSeconds, const Options &options)
{
    printProblems(applied.problems);
    if (!applied.problems.empty()) {
        std::cerr << "nothing was changed\n";
        return ExitBadInput;
    }
    if (options.output == OutputFormat::Text)
        std::cout << "accepted as generation " << applied.generation << "\n";
    else
        std::cout << json{{"generation", applied.generation.value()}}.dump() << "\n";
    if (waitSeconds == 0)
        return ExitOk;
    return waitUntilInForce(session, applied.generation, waitSeconds, options);
}

} // namespace monsoongrade::ctl::internal
