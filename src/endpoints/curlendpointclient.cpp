#include <monsoongrade/endpoints/curlendpointclient.h>

#include <endpoints/internal/curlcall.h>

#include <asio/io_context.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include <atomic>
#include <map>
#include <thread>
#include <unordered_map>
#include <vector>

namespace monsoongrade::endpoints {

using internal::CurlCall;

namespace {

// A socket of libcurl's, watched by Asio; libcurl keeps the ownership of the descriptor.
struct WatchedSocket
{
    WatchedSocket(asio::io_context &io, curl_socket_t socket)
        : descriptor(io, socket)
    {
    }
    asio::posix::stream_descriptor descriptor;
    int wanted = 0;
    bool reading = false;
    bool writing = false;
};

constexpr long IdleConnectionsKept = 256;
// How often silent calls are looked for.
constexpr auto SweepPeriod = std::chrono::milliseconds(50);

} // namespace

class CurlEndpointClient::Loop
{
public:
    Loop()
        : timer_(io_)
        , sweepTimer_(io_)
        , work_(asio::make_work_guard(io_))
        , multi_(curl_multi_init())
    {
        curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, &Loop::onSocket);
        curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
        curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, &Loop::onTimer);
        curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
        curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, IdleConnectionsKept);
        sweepLater();
        thread_ = std::thread([this] { io_.run(); });
    }

    ~Loop()
    {
        asio::post(io_, [this] {
            for (auto &entry : calls_)
                curl_multi_remove_handle(multi_, entry.second->handle());
            calls_.clear();
            curl_multi_cleanup(multi_);
            sockets_.clear();
            io_.stop();
        });
        thread_.join();
    }

    CallId start(EndpointRequest request, std::shared_ptr<EndpointListener> listener)
    {
        const CallId id = nextId_++;
        asio::post(
            io_,
            [this, id, request = std::move(request), listener = std::move(listener)]() mutable {
                auto call = std::make_unique<CurlCall>(id, std::move(request), std::move(listener));
                CURL *handle = call->handle();
                calls_.emplace(id, std::move(call));
                curl_multi_add_handle(multi_, handle);
            });
        return id;
    }

    void resume(CallId id)
    {
        asio::post(io_, [this, id] {
            const auto call = calls_.find(id);
            if (call == calls_.end())
                return;
            call->second->resumed();
            curl_easy_pause(call->second->handle(), CURLPAUSE_CONT);
            // Unpaused data may already be in libcurl's buffer, where no socket event shows it.
            drive(CURL_SOCKET_TIMEOUT, 0);
        });
    }

    void cancel(CallId id)
    {
        asio::post(io_, [this, id] {
            const auto call = calls_.find(id);
            if (call == calls_.end())
                return;
            curl_multi_remove_handle(multi_, call->second->handle());
            calls_.erase(call);
        });
    }

private:
    static int onSocket(CURL *, curl_socket_t socket, int what, void *self, void *)
    {
        static_cast<Loop *>(self)->watch(socket, what);
        return 0;
    }

    static int onTimer(CURLM *, long milliseconds, void *self)
    {
        static_cast<Loop *>(self)->setTimer(milliseconds);
        return 0;
    }

    void watch(curl_socket_t socket, int what)
    {
        if (what == CURL_POLL_REMOVE) {
            const auto found = sockets_.find(socket);
            if (found == sockets_.end())
                return;
            found->second->wanted = 0;
            found->second->descriptor.cancel();
            found->second->descriptor.release();
            sockets_.erase(found);
            return;
        }
        auto &entry = sockets_[socket];
        if (!entry)
            entry = std::make_shared<WatchedSocket>(io_, socket);
        entry->wanted = what;
        arm(socket, entry);
    }

    void arm(curl_socket_t socket, const std::shared_ptr<WatchedSocket> &entry)
    {
        if ((entry->wanted & CURL_POLL_IN) != 0 && !entry->reading) {
            entry->reading = true;
            entry->descriptor.async_wait(
                asio::posix::stream_descriptor::wait_read, [this, socket, entry](auto error) {
                    entry->reading = false;
                    ready(socket, entry, CURL_POLL_IN, static_cast<bool>(error));
                });
        }
        if ((entry->wanted & CURL_POLL_OUT) != 0 && !entry->writing) {
            entry->writing = true;
            entry->descriptor.async_wait(
                asio::posix::stream_descriptor::wait_write, [this, socket, entry](auto error) {
                    entry->writing = false;
                    ready(socket, entry, CURL_POLL_OUT, static_cast<bool>(error));
                });
        }
    }

    void ready(curl_socket_t socket, const std::shared_ptr<WatchedSocket> &entry, int what,
               bool failed)
    {
        if (failed || (entry->wanted & what) == 0)
            return;
        drive(socket, what == CURL_POLL_IN ? CURL_CSELECT_IN : CURL_CSELECT_OUT);
        const auto found = sockets_.find(socket);
        if (found != sockets_.end() && found->second == entry)
            arm(socket, entry);
    }

    void sweepLater()
    {
        sweepTimer_.expires_after(SweepPeriod);
        sweepTimer_.async_wait([this](auto error) {
            if (error)
                return;
            endSilentCalls();
            sweepLater();
        });
    }

    void endSilentCalls()
    {
        const units::TimePoint now = std::chrono::steady_clock::now();
        std::vector<std::unique_ptr<CurlCall>> silent;
        for (auto call = calls_.begin(); call != calls_.end();) {
            const auto current = call++;
            if (!current->second->isSilent(now))
                continue;
            curl_multi_remove_handle(multi_, current->second->handle());
            silent.push_back(std::move(current->second));
            calls_.erase(current);
        }
        for (const auto &call : silent)
            call->finishSilent();
    }

    void setTimer(long milliseconds)
    {
        timer_.cancel();
        if (milliseconds < 0)
            return;
        timer_.expires_after(std::chrono::milliseconds(milliseconds));
        timer_.async_wait([this](auto error) {
            if (!error)
                drive(CURL_SOCKET_TIMEOUT, 0);
        });
    }

    void drive(curl_socket_t socket, int events)
    {
        int running = 0;
        curl_multi_socket_action(multi_, socket, events, &running);
        int left = 0;
        while (CURLMsg *message = curl_multi_info_read(multi_, &left)) {
            if (message->msg == CURLMSG_DONE)
                finish(message->easy_handle, message->data.result);
        }
    }

    void finish(CURL *handle, CURLcode result)
    {
        void *pointer = nullptr;
        curl_easy_getinfo(handle, CURLINFO_PRIVATE, &pointer);
        const auto call = calls_.find(static_cast<CurlCall *>(pointer)->id());
        const std::unique_ptr<CurlCall> finished = std::move(call->second);
        calls_.erase(call);
        curl_multi_remove_handle(multi_, handle);
        finished->finish(result);
    }

    asio::io_context io_{1};
    asio::steady_timer timer_;
    asio::steady_timer sweepTimer_;
    asio::executor_work_guard<asio::io_context::executor_type> work_;
    CURLM *multi_;
    std::unordered_map<curl_socket_t, std::shared_ptr<WatchedSocket>> sockets_;
    std::unordered_map<CallId, std::unique_ptr<CurlCall>> calls_;
    std::atomic<CallId> nextId_{1};
    std::thread thread_;
};

CurlEndpointClient::CurlEndpointClient()
    : loop_(std::make_unique<Loop>())
{
}

CurlEndpointClient::~CurlEndpointClient() = default;

CallId CurlEndpointClient::start(EndpointRequest request,
                                 std::shared_ptr<EndpointListener> listener)
{
    return loop_->start(std::move(request), std::move(listener));
}

void CurlEndpointClient::resume(CallId call)
{
    loop_->resume(call);
}

void CurlEndpointClient::cancel(CallId call)
{
    loop_->cancel(call);
}

} // namespace monsoongrade::endpoints
