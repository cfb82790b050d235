#include <ctl/internal/session.h>

#include <monsoongrade/configuration/folder.h>
#include <monsoongrade/configuration/textcheck.h>
#include <monsoongrade/ctl/printer.h>

#include <chrono>
#include <map>
#include <random>
#include <thread>

namespace monsoongrade::ctl::internal {

namespace {

using nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr auto AskAgainAfter = std::chrono::milliseconds(250);

// Where a change has come to.
struct Reach
{
    std::vector<std::string> inForce;
    // Who does not have it yet, and what they say instead.
    std::map<std::string, std::string> behind;
    bool isTokenRefused = false;
};

Reach reachOf(const std::vector<DaemonPage> &pages, units::Generation generation)
{
    Reach reach;
    for (const DaemonPage &page : pages) {
        const json status = json::parse(page.body, nullptr, false);
        const auto has = status.is_object() ? status.value("generation", std::uint64_t(0)) : 0;
        if (page.body.empty())
            reach.behind[page.name()] = page.fault;
        else if (has < generation.value())
            reach.behind[page.name()] = "has generation " + std::to_string(has);
        else
            reach.inForce.push_back(page.name());
        reach.isTokenRefused = reach.isTokenRefused || page.isTokenRefused;
    }
    return reach;
}

std::string progress(const Reach &reach)
{
    return std::to_string(reach.inForce.size()) + " of "
        + std::to_string(reach.inForce.size() + reach.behind.size()) + " daemons have it\n";
}

// Asks until all have it, the time is over, or asking again would not help.
units::Result<Reach> waitUntilInForce(Session &session, units::Generation generation,
                                      int waitSeconds, bool talk)
{
    const auto until = Clock::now() + std::chrono::seconds(waitSeconds);
    std::string lastProgress;
    for (;;) {
        BOOST_LEAF_AUTO(pages, session.fleet.allPages("/operator/status"));
        Reach reach = reachOf(pages, generation);
        if (talk && progress(reach) != lastProgress)
            std::cout << progress(reach) << std::flush;
        lastProgress = progress(reach);
        if (reach.behind.empty() || reach.isTokenRefused || Clock::now() >= until)
            return reach;
        std::this_thread::sleep_for(AskAgainAfter);
    }
}

void printBehind(const Reach &reach)
{
    if (reach.isTokenRefused)
        std::cerr << "accepted, but can't tell where it is in force: "
                  << units::describe({units::ResultCode::OperatorTokenRefused,
                                      "give it by --token or MONSOONGRADE_OPERATOR_TOKEN"})
                  << "\n";
    for (const auto &[daemon, state] : reach.behind)
        std::cerr << "behind: " << daemon << ": " << state << "\n";
    std::cerr << "the change is accepted and goes on spreading; see monsoongradectl status\n";
}

} // namespace

units::Result<WrittenFiles> readWrittenFiles(const std::string &path)
{
    BOOST_LEAF_AUTO(files, configuration::readFolder(path));
    WrittenFiles written{std::move(files), {}};
    for (const configuration::SourceFile &file : written.files) {
        if (auto cutOff = configuration::findCutOffEnd(file))
            written.problems.push_back(std::move(*cutOff));
    }
    return written;
}

std::size_t printFaults(const std::vector<DaemonPage> &pages)
{
    std::size_t faults = 0;
    for (const DaemonPage &page : pages) {
        if (page.fault.empty())
            continue;
        std::cerr << "no answer from " << page.name() << ": " << page.fault << "\n";
        ++faults;
    }
    return faults;
}

int refuseName(const std::string &message)
{
    std::cerr << units::describe({units::ResultCode::DanglingReference, message}) << "\n";
    return ExitBadInput;
}

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
        std::cout << "accepted as generation " << applied.generation << "\n" << std::flush;
    return waitAndReport(session, applied.generation, waitSeconds, options);
}

units::Result<int> waitAndReport(Session &session, units::Generation generation, int waitSeconds,
                                 const Options &options)
{
    const bool talk = options.output == OutputFormat::Text;
    json out{{"generation", generation.value()}};
    Reach reach;
    if (waitSeconds > 0) {
        auto reached = units::capture(
            [&] { return waitUntilInForce(session, generation, waitSeconds, talk); });
        // The change stands all the same; an error's words would deny it.
        if (!reached.value) {
            std::cerr << "accepted, but can't tell where it is in force: "
                      << units::describe(reached.error) << "\n";
            return ExitBehind;
        }
        reach = std::move(*reached.value);
        out["in_force"] = reach.inForce;
        out["behind"] = reach.behind;
    }
    print(std::cout, options.output, out, [&](const json &) {
        return waitSeconds > 0 && reach.behind.empty()
            ? "in force on all " + std::to_string(reach.inForce.size()) + " daemons\n"
            : std::string();
    });
    if (reach.behind.empty())
        return ExitOk;
    printBehind(reach);
    return ExitBehind;
}

} // namespace monsoongrade::ctl::internal
