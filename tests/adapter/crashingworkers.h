#ifndef MONSOONGRADE_TESTS_ADAPTER_CRASHINGWORKERS_H
#define MONSOONGRADE_TESTS_ADAPTER_CRASHINGWORKERS_H

#include "gatewayfixture.h"

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

namespace monsoongrade::platform {

inline const std::string FatalBody = "fatal";

// A part of prompts, unless it is the last one, on which a worker crashes.
inline const std::string FatalPart = "dead";

// A gateway and workers, each of which crashes when it begins to answer a certain request, or one
// whose prompt has a certain part, and restarts at once as a new process.
class CrashFixture : public GatewayFixture
{
public:
    CrashFixture()
    {
        store.put("config", "main", operatorConfiguration());
        for (std::size_t i = 0; i < Workers; ++i) {
            peers_.push_back(std::make_unique<standins::RawPeer>(
                io, [this, i](standins::RawConnection &connection, const std::string &text, int) {
                    respond(i, connection, text);
                }));
            announceWorker(i);
        }
        start();
        REQUIRE(awaitServing(2 * Workers));
    }

    // False: workers only break the connection of the fatal request, and keep running.
    bool isCrashing = true;
    int crashes() const { return crashes_; }
    std::shared_ptr<RawClient> callFatal(const std::string &path, const std::string &key = "k1")
    {
        auto client = call(request("POST", path, "f" + std::to_string(++attempts_), FatalBody,
                                   path.find("/safe/") == 0 ? "" : StreamHeaders, key));
        // Until the gateway has the entries of the workers' new processes.
        runFor(std::chrono::milliseconds(30));
        return client;
    }

    // A stream whose prompt has these parts besides one of its own. No two are alike.
    std::shared_ptr<RawClient> callWithParts(const std::string &parts,
                                             const std::string &key = "k1")
    {
        const std::string number = std::to_string(++attempts_);
        auto client = call(request("POST", "/stream/a", "p" + number, "body " + number,
                                   "Model: m\r\nToken-Counts: 100,20\r\nPrompt-Prefix: " + parts
                                       + ",own" + number + ":40\r\n",
                                   key));
        REQUIRE(runUntil([this] { return knowsNewestProcess(); }));
        return client;
    }

private:
    static constexpr std::size_t Workers = 8;

    void announceWorker(std::size_t index)
    {
        for (const char *service : {"plain", "model"}) {
            newest_ = {units::EndpointId(service + std::to_string(index)),
                       routing::Incarnation(++born_)};
            announce(newest_.id.value(), service, peers_[index]->address(), born_);
        }
    }
    // Otherwise a response of the new process would count as one of the process that crashed.
    bool knowsNewestProcess() const { return gateway->state().registry.find(newest_) != nullptr; }
    void respond(std::size_t index, standins::RawConnection &connection, const std::string &text)
    {
        const std::string id = standins::headerIn(text, "Attempt-Id");
        const bool isFatal = text.find("\r\n\r\n" + FatalBody) != std::string::npos
            || standins::headerIn(text, "Prompt-Prefix").find(FatalPart + ":") != std::string::npos;
        if (!isFatal) {
            connection.write(workerResponse(id, "fine"));
            return;
        }
        ++crashes_;
        connection.write(streamHead(id));
        connection.reset();
        if (isCrashing)
            announceWorker(index);
    }

    std::vector<std::unique_ptr<standins::RawPeer>> peers_;
    int crashes_ = 0;
    int attempts_ = 0;
    std::int64_t born_ = 0;
    routing::EndpointInstance newest_; // the worker process that started last
};

} // namespace monsoongrade::platform

#endif // MONSOONGRADE_TESTS_ADAPTER_CRASHINGWORKERS_H
