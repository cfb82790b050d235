#ifndef MONSOONGRADE_RPC_RPCLOOP_H
#define MONSOONGRADE_RPC_RPCLOOP_H

#include <functional>
#include <memory>

namespace kj {
class AsyncIoProvider;
class Timer;
class Network;
class TaskSet;
} // namespace kj

namespace monsoongrade::rpc {

// The Cap'n Proto event loop on a thread of its own. Whatever touches a capability runs there.
class RpcLoop
{
public:
    RpcLoop();
    ~RpcLoop();

    // Runs the function on the loop's thread, in the order of the calls.
    void post(std::function<void()> function);
    // Runs it there and waits until it is done. Not from the loop's own thread.
    void postAndWait(const std::function<void()> &function);

    // Only on the loop's thread.
    kj::AsyncIoProvider &io();
    kj::Timer &timer();

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace monsoongrade::rpc

#endif // MONSOONGRADE_RPC_RPCLOOP_H
