#include <monsoongrade/rpc/rpcloop.h>

#include <kj/async-io.h>

#include <fcntl.h>
#include <unistd.h>

#include <atomic>
#include <future>
#include <mutex>
#include <thread>
#include <vector>

namespace monsoongrade::rpc {

class RpcLoop::Impl
{
public:
    Impl()
    {
        if (pipe2(pipe_, O_CLOEXEC | O_NONBLOCK) != 0)
            throw std::runtime_error("no pipe for the RPC loop");
        std::promise<void> started;
        thread_ = std::thread([this, &started] { run(started); });
        started.get_future().wait();
    }

    ~Impl()
    {
        post([this] { stopping_ = true; });
        thread_.join();
        close(pipe_[1]);
    }

    void post(std::function<void()> function)
    {
        bool wake = false;
        {
            const std::lock_guard lock(mutex_);
            wake = queue_.empty();
            queue_.push_back(std::move(function));
        }
        // One byte wakes the loop for all that was queued meanwhile.
        if (wake)
            (void)!write(pipe_[1], "w", 1);
    }

    kj::AsyncIoProvider &io() { return *context_->provider; }
    kj::Timer &timer() { return context_->provider->getTimer(); }

private:
    void run(std::promise<void> &started)
    {
        kj::AsyncIoContext context = kj::setupAsyncIo();
        context_ = &context;
        auto input = context.lowLevelProvider->wrapInputFd(
            pipe_[0], kj::LowLevelAsyncIoProvider::TAKE_OWNERSHIP);
        started.set_value();
        char bytes[64];
        while (!stopping_) {
            input->tryRead(bytes, 1, sizeof(bytes)).wait(context.waitScope);
            runQueued();
        }
    }

    void runQueued()
    {
        std::vector<std::function<void()>> batch;
        {
            const std::lock_guard lock(mutex_);
            batch.swap(queue_);
        }
        for (const auto &function : batch)
            function();
    }

    int pipe_[2] = {-1, -1};
    std::mutex mutex_;
    std::vector<std::function<void()>> queue_;
    kj::AsyncIoContext *context_ = nullptr;
    bool stopping_ = false;
    std::thread thread_;
};

RpcLoop::RpcLoop()
    : impl_(std::make_unique<Impl>())
{
}

RpcLoop::~RpcLoop() = default;

void RpcLoop::post(std::function<void()> function)
{
    impl_->post(std::move(function));
}

void RpcLoop::postAndWait(const std::function<void()> &function)
{
    std::promise<void> done;
    post([&] {
        function();
        done.set_value();
    });
    done.get_future().wait();
}

kj::AsyncIoProvider &RpcLoop::io()
{
    return impl_->io();
}

kj::Timer &RpcLoop::timer()
{
    return impl_->timer();
}

} // namespace monsoongrade::rpc
