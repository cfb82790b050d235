#include <monsoongrade/slots/fallbackslotsource.h>

#include <mutex>
#include <unordered_set>

namespace monsoongrade::slots {

// Which requests went the second way. Calls no source under its lock.
class FallbackSlotSource::Impl
{
public:
    Impl(const units::Clock &clock, scheduling::SlotSource &first, scheduling::SlotSource &second,
         observability::Metrics &metrics)
        : clock(clock)
        , first(first)
        , second(second)
        , metrics(metrics)
    {
    }

    void divert(const units::RequestId &request)
    {
        const std::lock_guard lock(mutex_);
        diverted_.insert(request);
    }
    bool isDiverted(const units::RequestId &request) const
    {
        const std::lock_guard lock(mutex_);
        return diverted_.count(request) > 0;
    }
    bool forget(const units::RequestId &request)
    {
        const std::lock_guard lock(mutex_);
        return diverted_.erase(request) > 0;
    }

    const units::Clock &clock;
    scheduling::SlotSource &first;
    scheduling::SlotSource &second;
    observability::Metrics &metrics;

private:
    mutable std::mutex mutex_;
    std::unordered_set<units::RequestId> diverted_;
};

// Stands between the first source and the asker.
class FallbackSlotSource::Listener : public scheduling::SlotListener
{
public:
    Listener(std::shared_ptr<Impl> impl, scheduling::SlotAsk ask,
             std::shared_ptr<scheduling::SlotListener> listener)
        : impl_(std::move(impl))
        , ask_(std::move(ask))
        , listener_(std::move(listener))
        , since_(impl_->clock.now())
    {
    }

    void slotGranted(const scheduling::SlotGrant &grant) override { listener_->slotGranted(grant); }

    void slotRefused(const scheduling::SlotRefusal &refusal) override
    {
        if (refusal.code != units::ResultCode::SchedulerUnreachable) {
            listener_->slotRefused(refusal);
            return;
        }
        impl_->metrics.add("monsoongrade_own_share_fallbacks_total",
                           observability::label("pool", ask_.pool.value()));
        impl_->divert(ask_.request);
        ask_.waited += impl_->clock.now() - since_;
        impl_->second.ask(ask_, std::make_shared<SecondListener>(impl_, ask_.request, listener_));
    }

private:
    // Ends the request's second way unless it got a grant, also where it was withdrawn and nobody
    // calls: the release of a grant is what ends it otherwise.
    class SecondListener : public scheduling::SlotListener
    {
    public:
        SecondListener(std::shared_ptr<Impl> impl, units::RequestId request,
                       std::shared_ptr<scheduling::SlotListener> listener)
            : impl_(std::move(impl))
            , request_(std::move(request))
            , listener_(std::move(listener))
        {
        }
        ~SecondListener() override
        {
            if (!granted_)
                impl_->forget(request_);
        }
        void slotGranted(const scheduling::SlotGrant &grant) override
        {
            granted_ = true;
            listener_->slotGranted(grant);
        }
        void slotRefused(const scheduling::SlotRefusal &refusal) override
        {
            listener_->slotRefused(refusal);
        }

    private:
        std::shared_ptr<Impl> impl_;
        units::RequestId request_;
        std::shared_ptr<scheduling::SlotListener> listener_;
        bool granted_ = false;
    };

    std::shared_ptr<Impl> impl_;
    scheduling::SlotAsk ask_;
    std::shared_ptr<scheduling::SlotListener> listener_;
    units::TimePoint since_;
};

FallbackSlotSource::FallbackSlotSource(const units::Clock &clock, scheduling::SlotSource &first,
                                       scheduling::SlotSource &second,
                                       observability::Metrics &metrics)
    : impl_(std::make_shared<Impl>(clock, first, second, metrics))
{
}

FallbackSlotSource::~FallbackSlotSource() = default;

void FallbackSlotSource::ask(const scheduling::SlotAsk &ask,
                             std::shared_ptr<scheduling::SlotListener> listener)
{
    impl_->first.ask(ask, std::make_shared<Listener>(impl_, ask, std::move(listener)));
}

void FallbackSlotSource::cancel(const scheduling::SlotAsk &ask)
{
    impl_->first.cancel(ask);
    if (impl_->isDiverted(ask.request))
        impl_->second.cancel(ask);
}

void FallbackSlotSource::release(const scheduling::SlotGrant &grant,
                                 const scheduling::SlotRelease &release)
{
    if (impl_->forget(grant.request))
        impl_->second.release(grant, release);
    else
        impl_->first.release(grant, release);
}

} // namespace monsoongrade::slots
