#include <monsoongrade/endpoints/curlendpointclient.h>

#include <CLI/CLI.hpp>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <fstream>
#include <iostream>
#include <mutex>
#include <sstream>

// What the router adds: the same requests go to it and straight to the stand-in, by turns.
// Starts nothing; bench/router-speed.sh starts what is measured.
namespace {

using namespace monsoongrade;
using std::chrono::steady_clock;

struct Options
{
    std::string router;
    std::string engine;
    std::string key;
    std::string model;
    int routerPid = 0;
    int pairs = 1000;
    int requests = 2000;
    int atOnce = 16;
    int streams = 64;
    int tokens = 2000;
};

// Counts calls that are running and wakes who waits for their end.
class Gate
{
public:
    void enter()
    {
        const std::lock_guard lock(mutex_);
        ++running_;
    }
    void leave()
    {
        const std::lock_guard lock(mutex_);
        --running_;
        changed_.notify_all();
    }
    void waitBelow(int count)
    {
        std::unique_lock lock(mutex_);
        changed_.wait(lock, [&] { return running_ < count; });
    }

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    int running_ = 0;
};

class Call : public endpoints::EndpointListener
{
public:
    explicit Call(Gate &gate)
        : gate_(gate)
        , start_(steady_clock::now())
    {
    }

    void answerHead(int status, const endpoints::Headers & /*headers*/) override
    {
        status_ = status;
    }
    endpoints::FlowControl answerBody(std::string_view bytes) override
    {
        if (firstByte_ == steady_clock::time_point())
            firstByte_ = steady_clock::now();
        for (std::size_t at = bytes.find("data:"); at != std::string_view::npos;
             at = bytes.find("data:", at + 1))
            ++events_;
        return endpoints::FlowControl::Continue;
    }
    void answerEnd(const endpoints::EndpointEnd &end) override
    {
        good_ = end.code == units::ResultCode::Ok && status_ == 200;
        gate_.leave();
    }

    double millisecondsToFirstByte() const
    {
        return std::chrono::duration<double, std::milli>(firstByte_ - start_).count();
    }
    // Without the closing event.
    int tokens() const { return std::max(0, events_ - 1); }
    bool isGood() const { return good_; }

private:
    Gate &gate_;
    steady_clock::time_point start_;
    steady_clock::time_point firstByte_;
    int status_ = 0;
    int events_ = 0;
    bool good_ = false;
};

using CallPointer = std::shared_ptr<Call>;

double processorSeconds(int pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
    std::string text;
    std::getline(file, text);
    std::istringstream rest(text.substr(text.rfind(')') + 2));
    std::string word;
    double ticks = 0;
    // User and system time are fields 14 and 15; the third is the first after the name.
    for (int field = 3; field <= 15 && rest >> word; ++field) {
        if (field >= 14)
            ticks += std::stod(word);
    }
    return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

class Bench
{
public:
    explicit Bench(Options options)
        : options_(std::move(options))
    {
    }

    bool run()
    {
        measureFirstToken();
        measureRequests(options_.engine, "straight");
        measureRequests(options_.router, "router");
        measureTokens(options_.engine, "straight");
        measureTokens(options_.router, "router");
        return bad_ == 0;
    }

private:
    CallPointer start(const std::string &base, int tokens)
    {
        endpoints::EndpointRequest request;
        request.url = base + "/v1/chat/completions";
        request.headers
            = {{"content-type", "application/json"}, {"authorization", "Bearer " + options_.key}};
        request.body = R"({"model":")" + options_.model
            + R"(","stream":true,"messages":[{"role":"user","content":"How do we press?"}],)"
            + R"("metadata":{"answer_tokens":)" + std::to_string(tokens) + "}}";
        gate_.enter();
        auto call = std::make_shared<Call>(gate_);
        client_.start(std::move(request), call);
        return call;
    }

    void check(const Call &call, int tokens)
    {
        if (!call.isGood() || call.tokens() != tokens)
            ++bad_;
    }

    double firstToken(const std::string &base)
    {
        const CallPointer call = start(base, 2);
        gate_.waitBelow(1);
        check(*call, 2);
        return call->millisecondsToFirstByte();
    }

    void measureFirstToken()
    {
        constexpr int WarmUp = 50;
        std::vector<double> straight;
        std::vector<double> routed;
        for (int i = -WarmUp; i < options_.pairs; ++i) {
            const double one = firstToken(options_.engine);
            const double two = firstToken(options_.router);
            if (i < 0)
                continue;
            straight.push_back(one);
            routed.push_back(two);
        }
        std::sort(straight.begin(), straight.end());
        std::sort(routed.begin(), routed.end());
        const auto at = [](const std::vector<double> &sorted, double share) {
            return sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))];
        };
        for (const double share : {0.5, 0.95, 0.99})
            std::cout << "first token p" << share * 100 << ": straight " << at(straight, share)
                      << " ms, router " << at(routed, share) << " ms, added "
                      << at(routed, share) - at(straight, share) << " ms\n";
    }

    void measureRequests(const std::string &base, const char *name)
    {
        const double before = processorSeconds(options_.routerPid);
        const auto begin = steady_clock::now();
        std::vector<CallPointer> calls;
        for (int i = 0; i < options_.requests; ++i) {
            gate_.waitBelow(options_.atOnce);
            calls.push_back(start(base, 1));
        }
        gate_.waitBelow(1);
        const double seconds = secondsSince(begin);
        const double spent = processorSeconds(options_.routerPid) - before;
        for (const CallPointer &call : calls)
            check(*call, 1);
        std::cout << name << ": " << options_.requests / seconds
                  << " requests/s, router's processor " << spent * 1e6 / options_.requests
                  << " us a request of one token\n";
    }

    void measureTokens(const std::string &base, const char *name)
    {
        const double before = processorSeconds(options_.routerPid);
        const auto begin = steady_clock::now();
        std::vector<CallPointer> calls(static_cast<std::size_t>(options_.streams));
        for (CallPointer &call : calls)
            call = start(base, options_.tokens);
        gate_.waitBelow(1);
        const double seconds = secondsSince(begin);
        const double spent = processorSeconds(options_.routerPid) - before;
        for (const CallPointer &call : calls)
            check(*call, options_.tokens);
        const double tokens = static_cast<double>(options_.streams) * options_.tokens;
        std::cout << name << ": " << tokens / seconds << " tokens/s, router's processor "
                  << spent * 1e6 / tokens << " us a token";
        if (spent > 0)
            std::cout << ", " << tokens / spent << " tokens a second of processor";
        std::cout << "\n";
    }

    static double secondsSince(steady_clock::time_point begin)
    {
        return std::chrono::duration<double>(steady_clock::now() - begin).count();
    }

    Options options_;
    Gate gate_;
    int bad_ = 0;
    endpoints::CurlEndpointClient client_;
};

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Measures what the router adds to first token and processor time.",
                 "router-speed");
    Options options;
    app.add_option("--router", options.router, "http://address:port")->required();
    app.add_option("--engine", options.engine, "http://address:port")->required();
    app.add_option("--router-pid", options.routerPid, "process id of the router")->required();
    app.add_option("--key", options.key, "API key")->required();
    app.add_option("--model", options.model, "model name")->required();
    app.add_option("--pairs", options.pairs, "requests each way for the first token");
    app.add_option("--requests", options.requests, "requests of one token");
    app.add_option("--at-once", options.atOnce, "of them open at once");
    app.add_option("--streams", options.streams, "long answers at once");
    app.add_option("--tokens", options.tokens, "tokens of each long answer");
    CLI11_PARSE(app, argc, argv);
    if (!Bench(options).run()) {
        std::cerr << "an answer failed or was not whole\n";
        return 1;
    }
    return 0;
}
