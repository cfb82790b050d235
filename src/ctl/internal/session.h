#ifndef MONSOONGRADE_CTL_INTERNAL_SESSION_H
#define MONSOONGRADE_CTL_INTERNAL_SESSION_H

#include <monsoongrade/configuration/configurationstore.h>
#include <monsoongrade/ctl/fleetclient.h>
#include <monsoongrade/endpoints/curlendpointclient.h>
#include <monsoongrade/platform/httpplatform.h>

#include <iostream>

namespace monsoongrade::ctl::internal {

// The clients that a command needs, made from the options.
struct Session
{
    explicit Session(const Options &options)
        : platform(client, options.platform)
        , store(platform)
        , fleet(options, client, platform)
    {
    }

    endpoints::CurlEndpointClient client;
    platform::HttpPlatform platform;
    configuration::ConfigurationStore store;
    FleetClient fleet;
};

// Prints each problem on a line of its own.
inline void printProblems(const configuration::Problems &problems)
{
    for (const configuration::Problem &problem : problems)
        std::cerr << configuration::describe(problem) << "\n";
}

// Runs a command's body; an error that it fails with is printed.
template <typename Body>
int runReportingErrors(Body body)
{
    return units::orElse(body, [](const units::Error &error) {
        std::cerr << units::describe(error) << "\n";
        if (error.code == units::ResultCode::PlatformUnavailable)
            std::cerr
                << "nothing was changed; try again when the platform answers (status, top and "
                   "explain take --hosts meanwhile)\n";
        const bool isInput = error.code == units::ResultCode::FileUnreadable;
        return isInput ? ExitBadInput : ExitFailed;
    });
}

// Prints which daemons gave no page and why; returns how many they are.
std::size_t printFaults(const std::vector<DaemonPage> &pages);

// Refuses a name from the command line that nothing has; gives the exit code.
int refuseName(const std::string &message);

// An id that no other change has.
std::string newChangeId();

// Tells what became of a change and, where it was accepted, waits until the daemons have it.
units::Result<int> reportAndWait(Session &session,
                                 const configuration::ConfigurationStore::Applied &applied,
                                 int waitSeconds, const Options &options);

// The second part alone, for a generation that was accepted before. With no seconds to wait
// nobody is asked.
units::Result<int> waitAndReport(Session &session, units::Generation generation, int waitSeconds,
                                 const Options &options);

// A folder or file as the user wrote it, with what shows that a file is cut off.
struct WrittenFiles
{
    std::vector<configuration::SourceFile> files;
    configuration::Problems problems;
};

// Error: FileUnreadable.
units::Result<WrittenFiles> readWrittenFiles(const std::string &path);

} // namespace monsoongrade::ctl::internal

#endif // MONSOONGRADE_CTL_INTERNAL_SESSION_H
