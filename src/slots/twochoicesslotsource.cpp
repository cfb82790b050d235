#include <monsoongrade/slots/twochoicesslotsource.h>

#include <monsoongrade/slots/loadtable.h>

#include <slots/internal/worker.h>

#include <set>

namespace monsoongrade::slots {

namespace {

using units::ResultCode;

constexpr auto RetryAfterFull = std::chrono::seconds(2);

} // namespace

// Runs on the worker's thread, but for construction.
class TwoChoicesSlotSource::Impl : public std::enable_shared_from_this<TwoChoicesSlotSource::Impl>
{
public:
    Impl(const units::Clock &clock, endpoints::EndpointClient &client,
         configuration::ConfigurationHolder &configuration, membership::FleetHolder &fleet,
         observability::Metrics &metrics, const TwoChoicesSettings &settings)
        : clock_(clock)
        , client_(client)
        , configuration_(configuration)
        , fleet_(fleet)
        , metrics_(metrics)
        , settings_(settings)
        , table_(settings.seed)
        , worker_([this] { tick(); })
    {
    }

    void post(std::function<void()> function) { worker_.post(std::move(function)); }

    void ask(const scheduling::SlotAsk &ask,
             const std::shared_ptr<scheduling::SlotListener> &listener)
    {
        const Waiting waiting{ask, listener, clock_.now() + settings_.longestWait - ask.waited};
        if (!tryGrant(waiting))
            waiting_[ask.request] = waiting;
    }

    void cancel(const units::RequestId &request) { waiting_.erase(request); }

private:
    struct Waiting
    {
        scheduling::SlotAsk ask;
        std::shared_ptr<scheduling::SlotListener> listener;
        units::TimePoint until;
    };
    class Poll;

    // True where the ask was decided.
    bool tryGrant(const Waiting &waiting)
    {
        const auto configuration = configuration_.current();
        std::optional<units::EndpointId> endpoint;
        if (configuration)
            endpoint = table_.choose(*configuration, *fleet_.current(), waiting.ask);
        if (endpoint) {
            waiting.listener->slotGranted(
                {units::GrantId(nextGrant_++), waiting.ask.request, waiting.ask.router, *endpoint});
            return true;
        }
        if (clock_.now() < waiting.until)
            return false;
        waiting.listener->slotRefused({waiting.ask.request, ResultCode::QueueFull, RetryAfterFull});
        return true;
    }

    void tick()
    {
        for (auto entry = waiting_.begin(); entry != waiting_.end();)
            entry = tryGrant(entry->second) ? waiting_.erase(entry) : std::next(entry);
        if (clock_.now() - lastPoll_ < settings_.pollPeriod)
            return;
        lastPoll_ = clock_.now();
        poll();
    }

    void poll();
    void polled(const units::EndpointId &endpoint, bool ok, const std::string &body)
    {
        polling_.erase(endpoint);
        if (ok)
            table_.report(endpoint, body);
        else
            table_.reportFailure(endpoint);
    }

    const units::Clock &clock_;
    endpoints::EndpointClient &client_;
    configuration::ConfigurationHolder &configuration_;
    membership::FleetHolder &fleet_;
    observability::Metrics &metrics_;
    const TwoChoicesSettings settings_;
    LoadTable table_;
    std::uint64_t nextGrant_ = 1;
    units::TimePoint lastPoll_;
    std::set<units::EndpointId> polling_;
    std::map<units::RequestId, Waiting> waiting_;
    // Last: its thread uses all the rest.
    internal::Worker worker_;
};

// One GET /load. Its answer may come after the source is gone.
class TwoChoicesSlotSource::Impl::Poll : public endpoints::EndpointListener
{
public:
    Poll(std::weak_ptr<Impl> impl, units::EndpointId endpoint)
        : impl_(std::move(impl))
        , endpoint_(std::move(endpoint))
    {
    }

    void answerHead(int status, const endpoints::Headers & /*headers*/) override
    {
        status_ = status;
    }
    endpoints::FlowControl answerBody(std::string_view bytes) override
    {
        constexpr std::size_t MaxBytes = 64 * 1024;
        body_.append(bytes.substr(0, MaxBytes - std::min(MaxBytes, body_.size())));
        return endpoints::FlowControl::Continue;
    }
    void answerEnd(const endpoints::EndpointEnd &end) override
    {
        const auto impl = impl_.lock();
        if (!impl)
            return;
        const bool ok = end.code == ResultCode::Ok && status_ == 200;
        impl->post([raw = impl.get(), endpoint = endpoint_, ok, body = body_] {
            raw->polled(endpoint, ok, body);
        });
    }

private:
    std::weak_ptr<Impl> impl_;
    units::EndpointId endpoint_;
    int status_ = 0;
    std::string body_;
};

void TwoChoicesSlotSource::Impl::poll()
{
    const auto configuration = configuration_.current();
    if (!configuration)
        return;
    for (const auto &pool : configuration->pools) {
        for (const auto &endpoint : pool.second.endpoints) {
            if (!polling_.insert(endpoint.id).second)
                continue;
            endpoints::EndpointRequest request;
            request.method = "GET";
            request.url
                = "http://" + endpoint.address + ":" + std::to_string(endpoint.port) + "/load";
            request.connectTimeout = std::chrono::seconds(1);
            request.silenceTimeout = std::chrono::seconds(2);
            metrics_.add("monsoongrade_load_polls_total");
            client_.start(std::move(request),
                          std::make_shared<Poll>(weak_from_this(), endpoint.id));
        }
    }
}

TwoChoicesSlotSource::TwoChoicesSlotSource(const units::Clock &clock,
                                           endpoints::EndpointClient &client,
                                           configuration::ConfigurationHolder &configuration,
                                           membership::FleetHolder &fleet,
                                           observability::Metrics &metrics,
                                           const TwoChoicesSettings &settings)
    : impl_(std::make_shared<Impl>(clock, client, configuration, fleet, metrics, settings))
{
}

TwoChoicesSlotSource::~TwoChoicesSlotSource() = default;

void TwoChoicesSlotSource::ask(const scheduling::SlotAsk &ask,
                               std::shared_ptr<scheduling::SlotListener> listener)
{
    impl_->post(
        [impl = impl_.get(), ask, listener = std::move(listener)] { impl->ask(ask, listener); });
}

void TwoChoicesSlotSource::cancel(const scheduling::SlotAsk &ask)
{
    impl_->post([impl = impl_.get(), request = ask.request] { impl->cancel(request); });
}

// Endpoints' own reports tell what runs there; nothing is counted here.
void TwoChoicesSlotSource::release(const scheduling::SlotGrant & /*grant*/,
                                   const scheduling::SlotRelease & /*release*/)
{
}

} // namespace monsoongrade::slots
