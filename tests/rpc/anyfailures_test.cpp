#include "rpcfixture.h"

#include <doctest/doctest.h>

#include <random>

using namespace monsoongrade;
using namespace monsoongrade::tests;

namespace {

// Two schedulers and three routers to which anything happens; afterwards all heals.
class AnyFailures
{
public:
    explicit AnyFailures(unsigned seed)
        : random_(seed)
    {
        for (const char *name : {"one", "two", "three"})
            routers_.push_back(std::make_unique<TestRouter>(name, cluster_.port, cluster_.fleet));
    }

    void run(int steps)
    {
        for (int i = 0; i < steps; ++i)
            step(i);
        // A restart would hide what leaked, so only one that is leaving gets it.
        if (leaving_)
            restartFirst();
        cluster_.publish({first().member(), second().member()});
    }

    // Every ask that nobody withdrew is decided once, with a grant: nothing refuses here but a
    // fleet with no scheduler, which the router says itself.
    void checkDecisions()
    {
        REQUIRE(eventually([&] {
            releaseGranted(1.0);
            return std::all_of(asked_.begin(), asked_.end(), [](const Asked &asked) {
                return asked.cancelled || asked.noted->decisions() > 0;
            });
        }));
        releaseGranted(1.0);
        for (const Asked &asked : asked_) {
            CHECK(asked.noted->decisions() <= 1);
            if (const auto refusal = asked.noted->refusal())
                CHECK(refusal->code == units::ResultCode::SchedulerUnreachable);
        }
    }

    // No slot stays taken: as many as there are can be had at once. Asks that come while both
    // schedulers are still passed over are refused by the router, and made again.
    void checkSlots()
    {
        CHECK(eventually([&] {
            return first().server->routersUsing() == 0 && second().server->routersUsing() == 0;
        }));
        std::vector<Noted> all(Slots);
        int number = 0;
        CHECK(eventually([&] {
            for (Noted &noted : all) {
                if (!noted || noted->refusal())
                    noted = routers_[0]->ask("last-" + std::to_string(++number));
            }
            return std::all_of(all.begin(), all.end(),
                               [](const Noted &noted) { return noted->isGranted(); });
        }));
    }

private:
    static constexpr int Slots = 3;
    struct Asked
    {
        std::size_t router;
        std::string name;
        Noted noted;
        bool cancelled = false;
        bool released = false;
    };

    TestScheduler &first() { return *cluster_.first; }
    TestScheduler &second() { return *cluster_.second; }
    int any(int limit) { return static_cast<int>(random_() % static_cast<unsigned>(limit)); }

    void step(int number)
    {
        const int what = any(100);
        if (what < 50) {
            const auto router = static_cast<std::size_t>(any(3));
            const std::string name = std::to_string(number);
            asked_.push_back({router, name, routers_[router]->ask(name)});
            // Most grants that cross a cancel come when the caller leaves at once.
            if (any(4) == 0)
                cancel(asked_.back());
        } else if (what < 75) {
            releaseGranted(0.5);
        } else if (what < 82 && !asked_.empty()) {
            cancel(asked_[static_cast<std::size_t>(any(static_cast<int>(asked_.size())))]);
        } else if (what < 86) {
            cluster_.publish({second().member()});
        } else if (what < 90) {
            cluster_.publish({first().member(), second().member()});
        } else if (what < 93) {
            first().server->startLeaving();
            leaving_ = true;
        } else if (what < 97) {
            restartFirst();
        } else {
            std::this_thread::sleep_for(std::chrono::milliseconds(any(400)));
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(any(4)));
    }

    void cancel(Asked &left)
    {
        left.cancelled = true;
        TestRouter &router = *routers_[left.router];
        router.slots->cancel(router.askOf(left.name));
    }

    void restartFirst()
    {
        first().kill();
        first().start();
        leaving_ = false;
    }

    void releaseGranted(double share)
    {
        for (Asked &asked : asked_) {
            if (asked.released || !asked.noted->isGranted()
                || any(1000) >= static_cast<int>(share * 1000))
                continue;
            asked.released = true;
            routers_[asked.router]->release(asked.noted);
        }
    }

    std::mt19937 random_;
    bool leaving_ = false;
    TwoSchedulers cluster_{1, Slots};
    std::vector<std::unique_ptr<TestRouter>> routers_;
    std::vector<Asked> asked_;
};

} // namespace

// Callers would wait for ever, or endpoints would lose slots until a restart. Schedulers are
// killed, stopped and started again, hosts come and go, callers leave, and releases cross all of
// it; whatever order it comes in, every ask gets its one decision and every slot comes back.
TEST_CASE("SlotClient.LosesNoAskAndNoSlotUnderAnyFailures")
{
    for (const unsigned seed : {1U, 2U, 3U, 4U}) {
        CAPTURE(seed);
        AnyFailures failures(seed);
        failures.run(150);
        failures.checkDecisions();
        failures.checkSlots();
    }
}
